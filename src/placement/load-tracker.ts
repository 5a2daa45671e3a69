/**
 * Loads of shards from the reports of many routers, averaged with exponential decay. Weights are kept on a scale that
 * grows with time, so that older work counts for less without being touched: only what is reported costs work.
 */
import type { MonotonicMillis, ShardId } from '../model/identifiers.js';

/** What is remembered of a load loses half its weight in this time. */
export const LOAD_HALF_LIFE_MILLIS = 10_000;
const MILLIS_PER_SECOND = 1000;
/** Half-lives after which the scale starts over at 1. */
const RESCALE_HALF_LIVES = 40;
/** A weight below this after the scale started over is of work long ago. */
const NO_WEIGHT = 1e-6;

/** Work reported for one shard. */
export interface ReportedWork {
  readonly shard: ShardId;
  readonly workMillis: number;
}

/** A shard with its weight: a load in a unit that all weights taken at one time share. */
export interface ShardWeight {
  readonly shard: ShardId;
  readonly load: number;
}

export class LoadTracker {
  readonly #weights = new Map<ShardId, number>();
  readonly #changed = new Set<ShardId>();
  /** Where the scale is 1. */
  #origin: MonotonicMillis | undefined;
  /** When the first report came. */
  #since: MonotonicMillis = Number.POSITIVE_INFINITY;

  /** Adds one router's report of work done since the one before. */
  report(works: Iterable<ReportedWork>, now: MonotonicMillis): void {
    this.#since = Math.min(this.#since, now);
    const scale = this.#scale(now);
    for (const { shard, workMillis } of works) {
      this.#weights.set(shard, (this.#weights.get(shard) ?? 0) + workMillis * scale);
      this.#changed.add(shard);
    }
  }

  /** Weight of a shard. */
  weight(shard: ShardId): number {
    return this.#weights.get(shard) ?? 0;
  }

  /** Weight of a steady load of so many milliseconds of work a second. */
  weightOf(load: number, now: MonotonicMillis): number {
    return (load / MILLIS_PER_SECOND) * this.#coveredMillis(now) * this.#scale(now);
  }

  /** Load of a shard in milliseconds of work a second. */
  load(shard: ShardId, now: MonotonicMillis): number {
    return this.weight(shard) / this.weightOf(1, now);
  }

  /** Weights that changed since the last call; all of them after the scale started over. */
  takeChanged(): ShardWeight[] {
    const changed = [...this.#changed].map((shard) => ({ shard, load: this.weight(shard) }));
    this.#changed.clear();
    return changed;
  }

  forget(shard: ShardId): void {
    this.#weights.delete(shard);
    this.#changed.delete(shard);
  }

  #scale(now: MonotonicMillis): number {
    this.#origin ??= now;
    const halfLives = (now - this.#origin) / LOAD_HALF_LIFE_MILLIS;
    if (halfLives < RESCALE_HALF_LIVES) {
      return 2 ** halfLives;
    }
    this.#rescale(0.5 ** halfLives);
    this.#origin = now;
    return 1;
  }

  #rescale(factor: number): void {
    for (const [shard, weight] of this.#weights) {
      const rescaled = weight * factor;
      this.#changed.add(shard);
      if (rescaled < NO_WEIGHT) {
        this.#weights.delete(shard);
      } else {
        this.#weights.set(shard, rescaled);
      }
    }
  }

  /** Time that the decayed sum stands for: the integral of the decay, at least one second of it. */
  #coveredMillis(now: MonotonicMillis): number {
    const age = Math.max(MILLIS_PER_SECOND, now - this.#since);
    const meanMillis = LOAD_HALF_LIFE_MILLIS / Math.LN2;
    return meanMillis * (1 - 0.5 ** (age / LOAD_HALF_LIFE_MILLIS));
  }
}
