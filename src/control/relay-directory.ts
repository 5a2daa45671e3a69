/**
 * The routers that can carry connections of others, and which of them each router is told of. Kept by the leader alone: a new leader starts
 * empty, and routers keep the peers that they were told of last.
 */
import type { MonotonicMillis, RouterId, Zone } from '../model/identifiers.js';
import type { RelayPeer, RelayReport } from '../model/relay.js';
import { affinityOf } from '../routing/upstream/affinity.js';
import type { RelayPeers } from './messages.js';
import type { ConnectionId } from './types.js';

/** Peers named to one router: if two thirds of all are blind, all of these are so for one router in a hundred. */
const MAX_PEERS = 12;
const MAX_OWN_ZONE_PEERS = 4;
/** A router that hasn't reported for this long is no longer named. */
const REPORT_LIFETIME_MILLIS = 5000;
/** How long a full list of a router that sees all upstreams stays as it is, though routers come and go: each list costs a look at all routers. */
const LIST_LIFETIME_MILLIS = 5000;

interface KnownRelay {
  readonly peer: RelayPeer;
  readonly isBlind: boolean;
  reportedAt: MonotonicMillis;
}

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
  readonly #sent = new Map<ConnectionId, SentList>();
  /** Change counts of the set of routers, and of which of them are blind. */
  #members = 0;
  #sight = 0;

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
    this.#set({ peer, isBlind, reportedAt: now });
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

  #set(relay: KnownRelay): void {
    const { router, zone, address } = relay.peer;
    const before = this.#relays.get(router);
    this.#relays.set(router, relay);
    const isSame = before?.peer.address === address && before.peer.zone === zone;
    this.#members += isSame ? 0 : 1;
    this.#sight += before?.isBlind === relay.isBlind ? 0 : 1;
  }

  #expire(now: MonotonicMillis): void {
    for (const [router, { reportedAt }] of this.#relays) {
      if (now - reportedAt > REPORT_LIFETIME_MILLIS) {
        this.#relays.delete(router);
        this.#members += 1;
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

  #peersOf(asker: RelayPeer, isBlind: boolean): RelayPeer[] {
    const others = [...this.#relays.values()].filter(({ peer }) => peer.router !== asker.router);
    // Blindness changes often, so it matters only in lists of routers that need a relay.
    const isLast = (known: KnownRelay): boolean =>
      (isBlind && known.isBlind) || this.#parts.isEvacuated(known.peer.zone);
    const rank = (known: KnownRelay): number => (isLast(known) ? 1 : 0);
    const sorted = others
      .map((known) => ({ known, order: affinityOf(asker.router, known.peer.router) }))
      .sort((one, other) => rank(one.known) - rank(other.known) || one.order - other.order)
      .map(({ known }) => known.peer);
    const own = sorted.filter(({ zone }) => zone === asker.zone).slice(0, MAX_OWN_ZONE_PEERS);
    const foreign = takeInTurn(sorted.filter(({ zone }) => zone !== asker.zone));
    const chosen = [...own, ...foreign].slice(0, MAX_PEERS);
    const spare = sorted.filter((peer) => !chosen.includes(peer));
    return [...chosen, ...spare].slice(0, MAX_PEERS);
  }
}

/** Reorders peers so that zones take turns; the order within a zone stays. */
function takeInTurn(peers: readonly RelayPeer[]): RelayPeer[] {
  const byZone = new Map<Zone, RelayPeer[]>();
  for (const peer of peers) {
    byZone.set(peer.zone, [...(byZone.get(peer.zone) ?? []), peer]);
  }
  const queues = [...byZone.values()];
  const longest = Math.max(0, ...queues.map(({ length }) => length));
  return Array.from({ length: longest }, (_, turn) =>
    queues.flatMap((queue) => queue.slice(turn, turn + 1)),
  ).flat();
}
