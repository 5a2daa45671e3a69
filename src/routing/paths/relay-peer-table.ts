/** The routers that may carry this router's connections, and which of them to use for an upstream. */
import type { MonotonicMillis, RouterId, Zone } from '../../model/identifiers.js';
import type { RelayPeer } from '../../model/relay.js';
import { affinityOf } from '../upstream/affinity.js';
import { PeerSights, type RelayedUpstream, SIGHTS, type Sight } from './peer-sights.js';

/** How long a peer stays in use that the leader names no more: a leader that has just been elected knows few routers. */
const KEEP_MILLIS = 10_000;

/** What is known of a peer's own paths; lower values are preferred. */
const SIGHT_ORDER: Readonly<Record<Sight, number>> = {
  [SIGHTS.sighted]: 0,
  [SIGHTS.sightedElsewhere]: 1,
  [SIGHTS.unknown]: 2,
  [SIGHTS.blindElsewhere]: 3,
  [SIGHTS.blind]: 4,
};

export class RelayPeerTable {
  /** Those that the leader named last. */
  #named: readonly RelayPeer[] = [];
  /** Those that it named before, with the time until which they stay in use. */
  readonly #former = new Map<RouterId, { readonly peer: RelayPeer; readonly until: MonotonicMillis }>();
  readonly #avoidedUntil = new Map<RouterId, MonotonicMillis>();
  readonly #sights = new PeerSights();

  /** `regions`: the region of each zone, as far as known; a zone that isn't listed lies in the same region as any other. */
  constructor(
    private readonly ownZone: Zone,
    private readonly regions: Readonly<Record<Zone, string>> = {},
  ) {}

  get size(): number {
    return this.#named.length + this.#former.size;
  }

  /** Replaces the peers that the leader names. */
  set(peers: readonly RelayPeer[], now: MonotonicMillis): void {
    for (const peer of this.#named) {
      this.#former.set(peer.router, { peer, until: now + KEEP_MILLIS });
    }
    for (const { router } of peers) {
      this.#former.delete(router);
    }
    this.#named = peers;
    this.#forget(now);
  }

  /** Forgets the former peers whose time is over, and what was known of them. */
  #forget(now: MonotonicMillis): void {
    for (const [router, { until }] of this.#former) {
      if (now >= until) {
        this.#former.delete(router);
      }
    }
    const names = new Set(this.#all().map(({ router }) => router));
    this.#sights.keepOnly(names);
    for (const router of this.#avoidedUntil.keys()) {
      if (!names.has(router)) {
        this.#avoidedUntil.delete(router);
      }
    }
  }

  #all(): RelayPeer[] {
    return [...this.#named, ...[...this.#former.values()].map(({ peer }) => peer)];
  }

  /** Records that a peer reached an upstream, or that it has no path to it. */
  recordSight(router: RouterId, upstream: RelayedUpstream, isSighted: boolean, now: MonotonicMillis): void {
    this.#sights.record(router, upstream, isSighted, now);
  }

  /** Whether a peer reached an upstream a moment ago, and has lost no path to one like this. */
  isSighted(router: RouterId, upstream: RelayedUpstream, now: MonotonicMillis): boolean {
    return SIGHT_ORDER[this.#sights.sightOf(router, upstream, now)] <= SIGHT_ORDER[SIGHTS.sightedElsewhere];
  }

  /** Leaves a peer out of all choices until a time. */
  avoid(router: RouterId, until: MonotonicMillis): void {
    this.#avoidedUntil.set(router, until);
  }

  isAvoided(router: RouterId, now: MonotonicMillis): boolean {
    return now < (this.#avoidedUntil.get(router) ?? Number.NEGATIVE_INFINITY);
  }

  /**
   * The peers that may be used for an upstream: last those that are blind to it, then those in a region that neither end lies in; of the others those
   * first that see upstreams, then those that the leader still names, then those whose way crosses the fewest zones.
   */
  inOrderFor(upstream: RelayedUpstream, now: MonotonicMillis): RelayPeer[] {
    this.#forget(now);
    return this.#all()
      .filter(({ router }) => !this.isAvoided(router, now))
      .map((peer) => ({ peer, order: this.#orderOf(peer, upstream, now) }))
      .sort((one, other) => compareOrders(one.order, other.order))
      .map(({ peer }) => peer);
  }

  /** Numbers by which peers are sorted, the most important one first. */
  #orderOf(peer: RelayPeer, upstream: RelayedUpstream, now: MonotonicMillis): readonly number[] {
    const sight = this.#sights.sightOf(peer.router, upstream, now);
    return [
      sight === SIGHTS.blind ? 1 : 0,
      this.#isInThirdRegion(peer, upstream) ? 1 : 0,
      SIGHT_ORDER[sight],
      this.#former.has(peer.router) ? 1 : 0,
      this.#crossings(peer, upstream),
      affinityOf(peer.router, upstream.id),
    ];
  }

  #isInThirdRegion({ zone }: RelayPeer, upstream: RelayedUpstream): boolean {
    const region = this.regions[zone];
    const ends = [this.regions[this.ownZone], this.regions[upstream.zone]];
    return region !== undefined && !ends.includes(undefined) && !ends.includes(region);
  }

  #crossings({ zone }: RelayPeer, upstream: RelayedUpstream): number {
    return (zone === this.ownZone ? 0 : 1) + (zone === upstream.zone ? 0 : 1);
  }
}

/** Compares by the first number that differs. */
function compareOrders(one: readonly number[], other: readonly number[]): number {
  const differences = one.map((value, index) => value - (other[index] ?? 0));
  return differences.find((difference) => difference !== 0) ?? 0;
}

/** The first `count` peers, one of each zone before a second one of any. */
export function spreadOverZones(peers: readonly RelayPeer[], count: number): RelayPeer[] {
  const firsts = peers.filter(({ zone }, index) => peers.findIndex((other) => other.zone === zone) === index);
  const others = peers.filter((peer) => !firsts.includes(peer));
  return [...firsts, ...others].slice(0, count);
}
