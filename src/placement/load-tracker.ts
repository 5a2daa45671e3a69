/**
 * Loads of shards from the reports of many routers, averaged with exponential decay. Weights are stored on a scale that
 * grows with time, so that older work decays without being updated: the cost is proportional to the reports alone.
 */
import type { MonotonicMillis, ShardId } from '../model/identifiers.js';

/** Half-life of reported work in the average. */
export const LOAD_HALF_LIFE_MILLIS = 10_000;
const MILLIS_PER_SECOND = 1000;
/** Half-lives after which the scale is reset to 1, so that it stays within the range of numbers. */
const RESCALE_HALF_LIVES = 40;
/** Weights below this after a reset of the scale come from old work and are dropped. */
const NEGLIGIBLE_WEIGHT = 1e-6;

/** Work reported for one shard. */
export interface ReportedWork {
  readonly shard: ShardId;
  readonly workMillis: number;
}

/** A shard with its weight: a load in a unit that is shared by all weights read at the same time. */
export interface ShardWeight {
  readonly shard: ShardId;
  readonly load: number;
}

export class LoadTracker {
  readonly #weights = new Map<ShardId, number>();
  readonly #changed = new Set<ShardId>();
  /** Time at which the scale is 1. */
  #origin: MonotonicMillis | undefined;
  /** Time of the first report. */
  #firstReportAt: MonotonicMillis = Number.POSITIVE_INFINITY;

  /** Adds a router's report of the work done since its previous report. */
  report(works: Iterable<ReportedWork>, now: MonotonicMillis): void {
    this.#firstReportAt = Math.min(this.#firstReportAt, now);
    const scale = this.#scale(now);
    for (const { shard, workMillis } of works) {
      this.#weights.set(shard, (this.#weights.get(shard) ?? 0) + workMillis * scale);
      this.#changed.add(shard);
    }
  }

  weight(shard: ShardId): number {
    return this.#weights.get(shard) ?? 0;
  }

  /** Returns the weight of a steady load in milliseconds of work per second. */
  weightForLoad(load: number, now: MonotonicMillis): number {
    return (load / MILLIS_PER_SECOND) * this.#coveredMillis(now) * this.#scale(now);
  }

  /** Returns the load of a shard in milliseconds of work per second. */
  load(shard: ShardId, now: MonotonicMillis): number {
    return this.weight(shard) / this.weightForLoad(1, now);
  }

  /** Returns the weights that changed since the last call; after a reset of the scale, all of them. */
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
      if (rescaled < NEGLIGIBLE_WEIGHT) {
        this.#weights.delete(shard);
      } else {
        this.#weights.set(shard, rescaled);
      }
    }
  }

  /** Returns the time that the decayed sum represents: the integral of the decay since the first report, over at least one second. */
  #coveredMillis(now: MonotonicMillis): number {
    const age = Math.max(MILLIS_PER_SECOND, now - this.#firstReportAt);
    const meanLifetimeMillis = LOAD_HALF_LIFE_MILLIS / Math.LN2;
    return meanLifetimeMillis * (1 - 0.5 ** (age / LOAD_HALF_LIFE_MILLIS));
  }
}
