/**
 * Tells that the machine was suspended. The monotonic clock stands still meanwhile, so whoever holds a lease would believe that no time
 * had passed, while those who granted it waited it out; the time since boot runs on. Sources are passed in, so that simulated
 * processes use the same code.
 */

/** Milliseconds of both clocks of one process; where they begin doesn't matter. */
export interface ClockSources {
  /** The monotonic clock. */
  readonly steady: () => number;
  /** The time since the machine was started, suspensions included. */
  readonly sinceBoot: () => number;
}

/** Steps in which the system tells the time since boot. */
const BOOT_STEP_MILLIS = 10;
/** Two clocks that are read one after the other, one of them in steps, differ by less without a suspension. */
const LEAST_SUSPENSION_MILLIS = 2.5 * BOOT_STEP_MILLIS;
/** The time since boot never falls behind: one that does is no such clock, as under a time that is simulated. */
const LARGEST_LAG_MILLIS = 50;

export class SuspensionWatch {
  readonly #sources: ClockSources;
  /** The time since boot beyond the monotonic one, as it was without the suspensions told of since. */
  #difference: number;
  #isUsable = true;

  constructor(sources: ClockSources) {
    this.#sources = sources;
    this.#difference = sources.sinceBoot() - sources.steady();
  }

  /** Whether the time since boot can be relied on. */
  get isUsable(): boolean {
    return this.#isUsable;
  }

  /**
   * Milliseconds for which the machine was suspended since the last call that told of any; 0: it wasn't. Told up to a step too long,
   * since a lease that ends early does no harm. Suspensions below 25 ms are told once they add up.
   */
  look(): number {
    if (!this.#isUsable) {
      return 0;
    }
    const grown = this.#sources.sinceBoot() - this.#sources.steady() - this.#difference;
    if (grown < -LARGEST_LAG_MILLIS) {
      this.#isUsable = false;
      return 0;
    }
    if (grown < LEAST_SUSPENSION_MILLIS) {
      return 0;
    }
    this.#difference += grown;
    return grown + BOOT_STEP_MILLIS;
  }
}
