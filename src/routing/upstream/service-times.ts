/** How long one upstream takes for requests, from this router's own attempts. */

/** Assumed until the first answer. */
const FIRST_MILLIS = 10;
/** Weight of the latest answer in a smoothed time. */
const SMOOTHING = 0.2;

export class ServiceTimes {
  #smoothed: number | null = null;
  #unhindered: number | null = null;

  /** Smoothed time from dispatch to answer, in milliseconds; assumed while no answer came. */
  get millis(): number {
    return this.#smoothed ?? FIRST_MILLIS;
  }

  /** The same; `null` while no answer came. */
  get measuredMillis(): number | null {
    return this.#smoothed;
  }

  /** Smoothed time of attempts that found a free slot, in milliseconds; `null` while there was none. */
  get unhinderedMillis(): number | null {
    return this.#unhindered;
  }

  answered(tookMillis: number): void {
    this.#smoothed = smooth(this.#smoothed, tookMillis);
  }

  /** An attempt that found a free slot was answered. */
  answeredUnhindered(tookMillis: number): void {
    this.#unhindered = smooth(this.#unhindered, tookMillis);
  }
}

function smooth(before: number | null, latest: number): number {
  return before === null ? latest : before + SMOOTHING * (latest - before);
}
