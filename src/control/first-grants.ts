/**
 * Holds back shards that were never granted until the upstreams had time to answer, so that the first one to answer
 * doesn't get them all.
 */
import type { MonotonicMillis, ShardId } from '../model/identifiers.js';

/** Wait after the first upstream is ready, and after one was added. */
const SETTLE_MILLIS = 500;

/** How the upstreams of the service stand. */
export interface Readiness {
  readonly anyReady: boolean;
  /** Each is ready, leaving, or answered once and doesn't any more. One that never did may be about to start. */
  readonly allHeardOf: boolean;
}

export class FirstGrants {
  readonly #shards = new Set<ShardId>();
  #readySince: MonotonicMillis | undefined;
  #addedAt: MonotonicMillis = Number.NEGATIVE_INFINITY;
  #isSettled = false;

  get size(): number {
    return this.#shards.size;
  }

  /** A new key map: its shards wait anew. */
  startOver(): void {
    this.#shards.clear();
    this.#readySince = undefined;
    this.#isSettled = false;
  }

  /** Keeps a shard back; `false` if there is nothing to wait for any more. */
  hold(shard: ShardId): boolean {
    if (!this.#isSettled) {
      this.#shards.add(shard);
    }
    return !this.#isSettled;
  }

  release(shard: ShardId): void {
    this.#shards.delete(shard);
  }

  /** An upstream was added. */
  upstreamAdded(now: MonotonicMillis): void {
    this.#addedAt = now;
  }

  /** Shards held back, once the wait is over; at most `limit` at a time. */
  takeSettled(readiness: Readiness, limit: number, now: MonotonicMillis): ShardId[] {
    if (!this.#isSettled && this.#shards.size > 0 && readiness.anyReady) {
      this.#readySince ??= now;
      const isTimeUp = now >= this.#readySince + SETTLE_MILLIS;
      const isComplete = readiness.allHeardOf && now >= this.#addedAt + SETTLE_MILLIS;
      this.#isSettled = isTimeUp || isComplete;
    }
    return this.#isSettled ? this.#take(limit) : [];
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

  #take(limit: number): ShardId[] {
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
