/** Response times of one upstream, measured by this router's own attempts. */

/** Assumed until the first answer. */
const INITIAL_MILLIS = 10;
/** Weight of the latest answer in the moving average. */
const SMOOTHING_FACTOR = 0.2;

export class ServiceTimes {
  #smoothed: number | null = null;
  #unqueued: number | null = null;

  /** Smoothed time from dispatch to answer, in milliseconds; an assumed value before the first answer. */
  get millis(): number {
    return this.#smoothed ?? INITIAL_MILLIS;
  }

  /** Like `millis`, but `null` before the first answer. */
  get measuredMillis(): number | null {
    return this.#smoothed;
  }

  /** Smoothed time of attempts that found a free slot, in milliseconds; `null` before the first one. */
  get unqueuedMillis(): number | null {
    return this.#unqueued;
  }

  answered(tookMillis: number): void {
    this.#smoothed = smooth(this.#smoothed, tookMillis);
  }

  /** Records the answer to an attempt that found a free slot. */
  recordUnqueuedAnswer(tookMillis: number): void {
    this.#unqueued = smooth(this.#unqueued, tookMillis);
  }
}

function smooth(before: number | null, latest: number): number {
  return before === null ? latest : before + SMOOTHING_FACTOR * (latest - before);
}
