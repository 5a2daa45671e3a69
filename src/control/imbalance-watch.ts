/** Tracks how long the load of a service has been imbalanced. */
import type { MonotonicMillis } from '../model/identifiers.js';
import type { LoadSpread } from '../placement/index.js';
import type { ImbalanceMeasure } from './service-measures.js';

/** A service counts as imbalanced if its largest load exceeds the lower bound by this factor, the planner's largest tolerance. */
export const IMBALANCE_BOUND = 1.5;
/** Loads older than this are out of date. */
const SPREAD_LIFETIME_MILLIS = 10_000;

const UNKNOWN: ImbalanceMeasure = { imbalance: null, imbalanceOverBound: null, imbalancedSinceMillis: null };

export class ImbalanceWatch {
  #spread: LoadSpread | null = null;
  #lookedAt: MonotonicMillis = Number.NEGATIVE_INFINITY;
  #since: MonotonicMillis | null = null;

  /** When `look` was last called. */
  get lookedAt(): MonotonicMillis {
    return this.#lookedAt;
  }

  /** Records the current spread. `requiresBalance`: the placement of the service penalizes imbalance. */
  look(spread: LoadSpread | null, requiresBalance: boolean, now: MonotonicMillis): void {
    const isLapsed = now - this.#lookedAt > SPREAD_LIFETIME_MILLIS;
    const since = isLapsed ? null : this.#since;
    this.#spread = spread;
    this.#lookedAt = now;
    this.#since = spread !== null && requiresBalance && isImbalanced(spread) ? (since ?? now) : null;
  }

  measure(now: MonotonicMillis): ImbalanceMeasure {
    if (this.#spread === null || now - this.#lookedAt > SPREAD_LIFETIME_MILLIS) {
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

/** Greedy placement of whole shards on the least loaded upstream never exceeds the sum of the mean and the hottest shard. */
function isImbalanced({ most, mean, hottest }: LoadSpread): boolean {
  return most > IMBALANCE_BOUND * Math.max(mean, hottest) && most > mean + hottest;
}
