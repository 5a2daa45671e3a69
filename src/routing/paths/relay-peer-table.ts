/** The routers that may carry this router's connections, and which of them to use for an upstream. */
import type { MonotonicMillis, RouterId, UpstreamId, Zone } from '../../model/identifiers.js';
import type { RelayPeer } from '../../model/relay.js';
import { affinityOf } from '../upstream/affinity.js';

/** An upstream as the choice of a relay sees it. */
export interface RelayedUpstream {
  readonly id: UpstreamId;
  readonly zone: Zone;
}

/** How long a peer stays in use that the leader names no more: a leader that has just been elected knows few routers. */
const KEEP_MILLIS = 10_000;
/** How long it counts that a peer reached an upstream, or failed to reach one that another peer reached. */
const SIGHT_LIFETIME_MILLIS = 5000;

/** What is known of a peer's own paths; lower values are preferred. */
const SIGHT_ORDER = { sighted: 0, unknown: 1, blind: 2 } as const;
type Sight = keyof typeof SIGHT_ORDER;

export class RelayPeerTable {
  /** Those that the leader named last. */
  #named: readonly RelayPeer[] = [];
  /** Those that it named before, with the time until which they stay in use. */
  readonly #former = new Map<RouterId, { readonly peer: RelayPeer; readonly until: MonotonicMillis }>();
  readonly #avoidedUntil = new Map<RouterId, MonotonicMillis>();
  readonly #sights = new Map<RouterId, { readonly sight: Sight; readonly at: MonotonicMillis }>();

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
    for (const known of [this.#avoidedUntil, this.#sights]) {
      for (const router of known.keys()) {
        if (!names.has(router)) {
          known.delete(router);
        }
      }
    }
  }

  #all(): RelayPeer[] {
    return [...this.#named, ...[...this.#former.values()].map(({ peer }) => peer)];
  }

  /** Records that a peer reached an upstream, or that it didn't though another one did. */
  recordSight(router: RouterId, isSighted: boolean, now: MonotonicMillis): void {
    this.#sights.set(router, { sight: isSighted ? 'sighted' : 'blind', at: now });
  }

  isSighted(router: RouterId, now: MonotonicMillis): boolean {
    return this.#sightOf(router, now) === 'sighted';
  }

  /** Leaves a peer out of all choices until a time. */
  avoid(router: RouterId, until: MonotonicMillis): void {
    this.#avoidedUntil.set(router, until);
  }

  isAvoided(router: RouterId, now: MonotonicMillis): boolean {
    return now < (this.#avoidedUntil.get(router) ?? Number.NEGATIVE_INFINITY);
  }

  /**
   * The peers that may be used for an upstream: last those that are blind, then those in a region that neither end lies in; of the others those
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
    const sight = this.#sightOf(peer.router, now);
    return [
      sight === 'blind' ? 1 : 0,
      this.#isInThirdRegion(peer, upstream) ? 1 : 0,
      SIGHT_ORDER[sight],
      this.#former.has(peer.router) ? 1 : 0,
      this.#crossings(peer, upstream),
      affinityOf(peer.router, upstream.id),
    ];
  }

  #sightOf(router: RouterId, now: MonotonicMillis): Sight {
    const known = this.#sights.get(router);
    return known === undefined || now - known.at > SIGHT_LIFETIME_MILLIS ? 'unknown' : known.sight;
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
