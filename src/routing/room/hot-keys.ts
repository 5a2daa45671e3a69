/**
 * Keys of one service that ask an owner for more than it can do. Their requests go behind those of the owner's other keys and leave room
 * for them, so that the surplus of one key takes no slot, place or retry of the others.
 */
import type { UpstreamId } from '../../model/identifiers.js';
import type { UpstreamState } from '../upstream/upstream-state.js';

/** Older requests count for less: long enough for a router that meets a hot key about once a second. */
const MEMORY_MILLIS = 10_000;
/** Counts of an owner that nothing came for are dropped after this. */
const FORGOTTEN_MILLIS = 60_000;
/** A key with more than this share of the requests for its owner may be too much for it. */
const HOT_SHARE = 2 / 3;
/** Fewer requests say nothing of shares. */
const LEAST_REQUESTS = 3;
/** A key stays hot for so long after its requests were last too many. */
const HOT_MILLIS = 5000;
/** Added to the rank of requests of a hot key: behind all others of their rank, before the next one. */
const HOT_STEP = 0.5;

export interface KeyedArrival {
  readonly key: string;
  /** That of its terms. */
  readonly rank: number;
  readonly owner: UpstreamState;
}

interface OwnerCounts {
  total: number;
  at: number;
  readonly ofKey: Map<string, number>;
}

/** Whether requests on a rank are those of a hot key. */
export function isOfHotKey(rank: number): boolean {
  return !Number.isInteger(rank);
}

export class HotKeys {
  readonly #owners = new Map<UpstreamId, OwnerCounts>();
  readonly #hotUntil = new Map<string, number>();

  /** `isOn`: whether a hot key's requests are to go behind the others of its owner. */
  constructor(private readonly isOn: boolean) {}

  /** The rank of a request that came. */
  rankOf({ key, rank, owner }: KeyedArrival, now: number): number {
    if (!this.isOn) {
      return rank;
    }
    const share = this.#count(owner.id, key, now);
    const isHot = now < (this.#hotUntil.get(key) ?? Number.NEGATIVE_INFINITY);
    // Once its surplus is held back it crowds nobody: then it is hot as long as it finds no room behind the others.
    const isTooMuch = isHot ? !owner.hasSlot(now, rank + HOT_STEP) : owner.isCrowded(now);
    if (isTooMuch && share > HOT_SHARE) {
      this.#hotUntil.set(key, now + HOT_MILLIS);
      return rank + HOT_STEP;
    }
    if (!isHot) {
      this.#hotUntil.delete(key);
    }
    return isHot ? rank + HOT_STEP : rank;
  }

  /** Drops keys that are no longer hot, and owners that nothing came for. */
  #forget(now: number): void {
    for (const [key, until] of this.#hotUntil) {
      if (now >= until) {
        this.#hotUntil.delete(key);
      }
    }
    for (const [owner, { at }] of this.#owners) {
      if (now >= at + FORGOTTEN_MILLIS) {
        this.#owners.delete(owner);
      }
    }
  }

  /** Counts a request; gives its key's share of those for the owner, 0 while they are few. */
  #count(owner: UpstreamId, key: string, now: number): number {
    const counts = this.#owners.get(owner) ?? { total: 0, at: now, ofKey: new Map<string, number>() };
    this.#owners.set(owner, counts);
    if (now - counts.at >= MEMORY_MILLIS) {
      halve(counts);
      counts.at = now;
      this.#forget(now);
    }
    const ofKey = (counts.ofKey.get(key) ?? 0) + 1;
    counts.ofKey.set(key, ofKey);
    counts.total += 1;
    return counts.total < LEAST_REQUESTS ? 0 : ofKey / counts.total;
  }
}

/** Forgets half of what was counted, and the keys of which little is left. */
function halve(counts: OwnerCounts): void {
  counts.total = 0;
  for (const [key, count] of counts.ofKey) {
    if (count < 2) {
      counts.ofKey.delete(key);
    } else {
      counts.ofKey.set(key, count / 2);
      counts.total += count / 2;
    }
  }
}
