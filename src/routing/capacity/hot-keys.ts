/**
 * Detects keys of one service whose requests exceed the capacity of their owner. Requests of such a hot key are ranked behind those of
 * the owner's other keys and leave headroom for them, so that the surplus of one key takes no slot, queue position or retry of the
 * others.
 */
import type { UpstreamId } from '../../model/identifiers.js';
import type { UpstreamState } from '../upstream/upstream-state.js';

/** Counts are halved at this interval: long enough for a router that receives a request of a hot key about once a second. */
const HALVING_INTERVAL_MILLIS = 10_000;
/** An owner's counts are dropped after this time without requests. */
const OWNER_EXPIRY_MILLIS = 60_000;
/** A key with more than this share of its owner's requests may exceed its capacity. */
const HOT_SHARE = 2 / 3;
/** With fewer requests, shares aren't meaningful. */
const MIN_REQUESTS = 3;
/** A key stays hot for this long after its requests last exceeded the capacity. */
const HOT_MILLIS = 5000;
/** Added to the rank of requests of a hot key: behind all others of their rank, before the next rank. */
const HOT_RANK_OFFSET = 0.5;

export interface KeyedArrival {
  readonly key: string;
  /** Rank of its terms. */
  readonly rank: number;
  readonly owner: UpstreamState;
}

interface OwnerCounts {
  total: number;
  at: number;
  readonly byKey: Map<string, number>;
}

/** Whether a rank is that of a hot key's requests. */
export function isHotKeyRank(rank: number): boolean {
  return !Number.isInteger(rank);
}

export class HotKeys {
  readonly #owners = new Map<UpstreamId, OwnerCounts>();
  readonly #hotUntil = new Map<string, number>();

  /** `isOn`: whether requests of a hot key go behind the others of its owner. */
  constructor(private readonly isOn: boolean) {}

  /** Returns the rank of an arrived request. */
  rankOf({ key, rank, owner }: KeyedArrival, now: number): number {
    if (!this.isOn) {
      return rank;
    }
    const share = this.#count(owner.id, key, now);
    const isHot = now < (this.#hotUntil.get(key) ?? Number.NEGATIVE_INFINITY);
    // While the surplus of a hot key is held back, no requests queue at its owner. A hot key therefore stays hot while its owner has no
    // slot for the key's own rank, behind the other keys.
    const exceedsCapacity = isHot
      ? !owner.hasSlot(now, rank + HOT_RANK_OFFSET)
      : owner.isProbablyQueueing(now);
    if (exceedsCapacity && share > HOT_SHARE) {
      this.#hotUntil.set(key, now + HOT_MILLIS);
      return rank + HOT_RANK_OFFSET;
    }
    if (!isHot) {
      this.#hotUntil.delete(key);
    }
    return isHot ? rank + HOT_RANK_OFFSET : rank;
  }

  /** Drops keys that are no longer hot, and owners without recent requests. */
  #prune(now: number): void {
    for (const [key, until] of this.#hotUntil) {
      if (now >= until) {
        this.#hotUntil.delete(key);
      }
    }
    for (const [owner, { at }] of this.#owners) {
      if (now >= at + OWNER_EXPIRY_MILLIS) {
        this.#owners.delete(owner);
      }
    }
  }

  /** Counts a request and returns its key's share of the owner's requests, or 0 while there are too few. */
  #count(owner: UpstreamId, key: string, now: number): number {
    const counts = this.#owners.get(owner) ?? { total: 0, at: now, byKey: new Map<string, number>() };
    this.#owners.set(owner, counts);
    if (now - counts.at >= HALVING_INTERVAL_MILLIS) {
      halve(counts);
      counts.at = now;
      this.#prune(now);
    }
    const byKey = (counts.byKey.get(key) ?? 0) + 1;
    counts.byKey.set(key, byKey);
    counts.total += 1;
    return counts.total < MIN_REQUESTS ? 0 : byKey / counts.total;
  }
}

/** Halves all counts and drops keys with a low count. */
function halve(counts: OwnerCounts): void {
  counts.total = 0;
  for (const [key, count] of counts.byKey) {
    if (count < 2) {
      counts.byKey.delete(key);
    } else {
      counts.byKey.set(key, count / 2);
      counts.total += count / 2;
    }
  }
}
