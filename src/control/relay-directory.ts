/**
 * The routers that can carry connections of others, and which of them each router is told of. Kept by the leader alone: a new leader starts
 * empty, and routers keep the peers that they were told of last.
 */
import type { MonotonicMillis, RouterId, Zone } from '../model/identifiers.js';
import type { RelayPeer, RelayReport } from '../model/relay.js';
import type { RelayPeers } from './messages.js';
import { type KnownRelay, RelayRing } from './relay-ring.js';
import type { ConnectionId } from './types.js';

/** Peers named to one router: if two thirds of all are blind, all of these are so for one router in a hundred. */
const MAX_PEERS = 12;
const MAX_OWN_ZONE_PEERS = 4;
/** A router that hasn't reported for this long is no longer named. */
const REPORT_LIFETIME_MILLIS = 5000;
const EXPIRE_INTERVAL_MILLIS = 500;
/** How long a full list of a router that sees all upstreams stays as it is, though routers come and go. */
const LIST_LIFETIME_MILLIS = 5000;

/** The list last sent on a connection, and what it was made from. */
interface SentList {
  readonly text: string;
  readonly length: number;
  readonly members: number;
  readonly sight: number;
  readonly isBlind: boolean;
  readonly at: MonotonicMillis;
}

export interface RelayDirectoryParts {
  /** Whether a zone is being evacuated; its routers are named last. */
  readonly isEvacuated: (zone: Zone) => boolean;
}

export class RelayDirectory {
  readonly #parts: RelayDirectoryParts;
  readonly #relays = new Map<RouterId, KnownRelay>();
  readonly #rings = new Map<Zone, RelayRing>();
  readonly #sent = new Map<ConnectionId, SentList>();
  /** Change counts of the set of routers, and of which of them are blind. */
  #members = 0;
  #sight = 0;
  #expiredAt: MonotonicMillis = Number.NEGATIVE_INFINITY;

  constructor(parts: RelayDirectoryParts) {
    this.#parts = parts;
  }

  /** Records a router's report; returns the peers to send to it, or `null` if it has them already. */
  recordReport(
    { peer, lostPaths }: RelayReport,
    from: ConnectionId,
    now: MonotonicMillis,
  ): RelayPeers | null {
    const isBlind = lostPaths > 0;
    this.#set(peer, isBlind, now);
    this.#expire(now);
    const before = this.#sent.get(from);
    if (before !== undefined && !this.#isOutdated(before, isBlind, now)) {
      return null;
    }
    const peers = this.#peersOf(peer, isBlind);
    const text = JSON.stringify(peers);
    const made = { members: this.#members, sight: this.#sight, isBlind, at: now };
    this.#sent.set(from, { text, length: peers.length, ...made });
    return before?.text === text ? null : { type: 'relay-peers', peers };
  }

  onRouterDisconnected(from: ConnectionId): void {
    this.#sent.delete(from);
  }

  #set(peer: RelayPeer, isBlind: boolean, now: MonotonicMillis): void {
    const known = this.#relays.get(peer.router);
    this.#sight += known?.isBlind === isBlind ? 0 : 1;
    if (known?.peer.address === peer.address && known.peer.zone === peer.zone) {
      known.isBlind = isBlind;
      known.reportedAt = now;
      return;
    }
    if (known !== undefined) {
      this.#remove(known);
    }
    const relay = { peer, isBlind, reportedAt: now };
    this.#relays.set(peer.router, relay);
    this.#ringOf(peer.zone).add(relay);
    this.#members += 1;
  }

  #ringOf(zone: Zone): RelayRing {
    const ring = this.#rings.get(zone) ?? new RelayRing(zone);
    this.#rings.set(zone, ring);
    return ring;
  }

  #remove(relay: KnownRelay): void {
    const { router, zone } = relay.peer;
    this.#relays.delete(router);
    this.#ringOf(zone).delete(relay);
    if (this.#ringOf(zone).isEmpty) {
      this.#rings.delete(zone);
    }
    this.#members += 1;
  }

  #expire(now: MonotonicMillis): void {
    if (now - this.#expiredAt < EXPIRE_INTERVAL_MILLIS) {
      return;
    }
    this.#expiredAt = now;
    for (const relay of this.#relays.values()) {
      if (now - relay.reportedAt > REPORT_LIFETIME_MILLIS) {
        this.#remove(relay);
      }
    }
  }

  #isOutdated(sent: SentList, isBlind: boolean, now: MonotonicMillis): boolean {
    if (sent.isBlind !== isBlind || (isBlind && sent.sight !== this.#sight)) {
      return true;
    }
    const isDue = sent.length < MAX_PEERS || now - sent.at >= LIST_LIFETIME_MILLIS;
    return sent.members !== this.#members && isDue;
  }

  #peersOf({ router, zone }: RelayPeer, isBlind: boolean): RelayPeer[] {
    // Blindness changes often, so it matters only in lists of routers that need a relay.
    const isLast = (relay: KnownRelay): boolean =>
      (isBlind && relay.isBlind) || this.#parts.isEvacuated(relay.peer.zone);
    const first = this.#spread(router, zone, (relay) => !isLast(relay));
    const last = first.length < MAX_PEERS ? this.#spread(router, zone, isLast) : [];
    return [...first, ...last].slice(0, MAX_PEERS);
  }

  /** Relays for an asker: a few of its own zone, those of other zones in turn, then more of its own. */
  #spread(asker: RouterId, ownZone: Zone, accepts: (relay: KnownRelay) => boolean): RelayPeer[] {
    const found = (ring: RelayRing | undefined): RelayPeer[] => ring?.after(asker, MAX_PEERS, accepts) ?? [];
    const own = found(this.#rings.get(ownZone));
    const foreign = [...this.#rings].filter(([zone]) => zone !== ownZone).map(([, ring]) => found(ring));
    return [...own.slice(0, MAX_OWN_ZONE_PEERS), ...inTurn(foreign), ...own.slice(MAX_OWN_ZONE_PEERS)];
  }
}

/** Takes one peer of each list after the other. */
function inTurn(lists: readonly RelayPeer[][]): RelayPeer[] {
  const longest = Math.max(0, ...lists.map(({ length }) => length));
  return Array.from({ length: longest }, (_, turn) =>
    lists.flatMap((list) => list.slice(turn, turn + 1)),
  ).flat();
}
