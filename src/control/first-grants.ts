/**
 * Delays the first grant of shards until the upstreams had time to respond, so that the first upstream to respond doesn't get
 * all shards.
 */
import type { MonotonicMillis, ShardId } from '../model/identifiers.js';

/** Wait after the first upstream is ready, and after an upstream was added. */
const SETTLE_MILLIS = 500;

/** Readiness of the upstreams of a service. */
export interface Readiness {
  readonly anyReady: boolean;
  /** Each upstream is ready, draining, or responded before and no longer does. One that never responded may still be starting. */
  readonly allReported: boolean;
}

export class FirstGrants {
  readonly #shards = new Set<ShardId>();
  #readySince: MonotonicMillis | undefined;
  #addedAt: MonotonicMillis = Number.NEGATIVE_INFINITY;
  #isSettled = false;

  get size(): number {
    return this.#shards.size;
  }

  /** Starts over for a new key map, whose shards are all new. */
  reset(): void {
    this.#shards.clear();
    this.#readySince = undefined;
    this.#isSettled = false;
  }

  /** Holds back a shard; returns `false` if the wait is over and the shard may be granted. */
  hold(shard: ShardId): boolean {
    if (!this.#isSettled) {
      this.#shards.add(shard);
    }
    return !this.#isSettled;
  }

  release(shard: ShardId): void {
    this.#shards.delete(shard);
  }

  /** Records that an upstream was added, which gets time to respond. */
  onUpstreamAdded(now: MonotonicMillis): void {
    this.#addedAt = now;
  }

  /** Removes and returns up to `limit` of the shards held back, once the wait is over. */
  takeDue(readiness: Readiness, limit: number, now: MonotonicMillis): ShardId[] {
    if (!this.#isSettled && this.#shards.size > 0 && readiness.anyReady) {
      this.#readySince ??= now;
      const isTimeUp = now >= this.#readySince + SETTLE_MILLIS;
      const isComplete = readiness.allReported && now >= this.#addedAt + SETTLE_MILLIS;
      this.#isSettled = isTimeUp || isComplete;
    }
    return this.#isSettled ? this.#takeUpTo(limit) : [];
  }

  nextDeadline(now: MonotonicMillis): MonotonicMillis {
    if (this.#shards.size === 0 || this.#readySince === undefined) {
      return Number.POSITIVE_INFINITY;
    }
    if (this.#isSettled) {
      return now;
    }
    const ends = [this.#readySince + SETTLE_MILLIS, this.#addedAt + SETTLE_MILLIS].filter((end) => end > now);
    return Math.min(Number.POSITIVE_INFINITY, ...ends);
  }

  #takeUpTo(limit: number): ShardId[] {
    const taken: ShardId[] = [];
    for (const shard of this.#shards) {
      if (taken.length === limit) {
        break;
      }
      taken.push(shard);
      this.#shards.delete(shard);
    }
    return taken;
  }
}
