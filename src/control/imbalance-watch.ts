/** Since when the load of a service has been spread unevenly. */
import type { MonotonicMillis } from '../model/identifiers.js';
import type { LoadSpread } from '../placement/index.js';
import type { ImbalanceMeasure } from './service-measures.js';

/** Largest load against the lower bound above which a service counts as imbalanced: the planner's greatest tolerance. */
export const IMBALANCE_BOUND = 1.5;
/** Loads that weren't taken for this long say nothing of now. */
const FRESH_MILLIS = 10_000;

const UNKNOWN: ImbalanceMeasure = { imbalance: null, imbalanceOverBound: null, imbalancedSinceMillis: null };

export class ImbalanceWatch {
  #spread: LoadSpread | null = null;
  #lookedAt: MonotonicMillis = Number.NEGATIVE_INFINITY;
  #since: MonotonicMillis | null = null;

  /** When it last looked. */
  get lookedAt(): MonotonicMillis {
    return this.#lookedAt;
  }

  /** Takes the spread as it is now. `isWatched`: the service asks for balance. */
  look(spread: LoadSpread | null, isWatched: boolean, now: MonotonicMillis): void {
    const isLapsed = now - this.#lookedAt > FRESH_MILLIS;
    const since = isLapsed ? null : this.#since;
    this.#spread = spread;
    this.#lookedAt = now;
    this.#since = spread !== null && isWatched && isImbalanced(spread) ? (since ?? now) : null;
  }

  measure(now: MonotonicMillis): ImbalanceMeasure {
    if (this.#spread === null || now - this.#lookedAt > FRESH_MILLIS) {
      return UNKNOWN;
    }
    const { most, mean, hottest } = this.#spread;
    return {
      imbalance: most / mean,
      imbalanceOverBound: most / Math.max(mean, hottest),
      imbalancedSinceMillis: this.#since === null ? null : now - this.#since,
    };
  }
}

/** Placing whole shards one after the other on the least loaded upstream keeps to the mean and the hottest shard together. */
function isImbalanced({ most, mean, hottest }: LoadSpread): boolean {
  return most > IMBALANCE_BOUND * Math.max(mean, hottest) && most > mean + hottest;
}
