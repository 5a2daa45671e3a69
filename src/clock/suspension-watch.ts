/**
 * Detects that the machine was suspended. The monotonic clock stops during a suspension, so a lease holder would consider
 * its lease valid after the granter has let it expire; the time since boot advances. Clock sources are parameters, so that
 * simulated processes use the same code.
 */

/** Both clocks of one process in milliseconds, with arbitrary origins. */
export interface ClockSources {
  /** The monotonic clock. */
  readonly monotonic: () => number;
  /** The time since the machine was booted, including suspensions. */
  readonly sinceBoot: () => number;
}

/** Resolution in which the system reports the time since boot. */
const BOOT_CLOCK_STEP_MILLIS = 10;
/** Without a suspension, two clocks read one after the other, one at this resolution, differ by less. */
const MIN_SUSPENSION_MILLIS = 2.5 * BOOT_CLOCK_STEP_MILLIS;
/** A real time since boot never falls behind the monotonic clock; one that does, as under simulated time, is unusable. */
const MAX_BOOT_CLOCK_LAG_MILLIS = 50;

export class SuspensionWatch {
  readonly #sources: ClockSources;
  /** Time since boot minus monotonic time, including the suspensions reported so far. */
  #difference: number;
  #isUsable = true;

  constructor(sources: ClockSources) {
    this.#sources = sources;
    this.#difference = sources.sinceBoot() - sources.monotonic();
  }

  /** Whether the time since boot is reliable. */
  get isUsable(): boolean {
    return this.#isUsable;
  }

  /**
   * Returns the milliseconds for which the machine was suspended since the last call that reported a suspension; 0 if it
   * wasn't. The result may be up to one clock step too long, since a lease that ends early does no harm. Suspensions below
   * 25 ms are reported once they add up.
   */
  look(): number {
    if (!this.#isUsable) {
      return 0;
    }
    const growthMillis = this.#sources.sinceBoot() - this.#sources.monotonic() - this.#difference;
    if (growthMillis < -MAX_BOOT_CLOCK_LAG_MILLIS) {
      this.#isUsable = false;
      return 0;
    }
    if (growthMillis < MIN_SUSPENSION_MILLIS) {
      return 0;
    }
    this.#difference += growthMillis;
    return growthMillis + BOOT_CLOCK_STEP_MILLIS;
  }
}
