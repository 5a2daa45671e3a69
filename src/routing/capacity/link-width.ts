/** Estimates the current width of a router's link: the configured width, or less if large answers arrive more slowly. */

/** The fastest arrival in this window counts, since slow upstreams or parallel answers don't mean that the link is narrow. */
const WINDOW_MILLIS = 1000;
/** With fewer samples, low rates aren't meaningful: each may come from a slow upstream. */
const MIN_SAMPLES = 2;
/** An estimate stays valid for this long without enough samples, since a narrow link carries few large answers. */
const ESTIMATE_TTL_MILLIS = 2000;
/** Minimum estimate as a share of the configured width: slow upstreams must not stop large answers. */
const MIN_WIDTH_SHARE = 0.25;

interface Sample {
  readonly at: number;
  readonly bytesPerMilli: number;
}

export class LinkWidth {
  /** Samples of the last `WINDOW_MILLIS`. */
  #samples: Sample[] = [];
  #estimate: Sample;

  /** `configuredBytesPerMilli`: width according to the settings. */
  constructor(readonly configuredBytesPerMilli: number) {
    this.#estimate = { at: Number.NEGATIVE_INFINITY, bytesPerMilli: configuredBytesPerMilli };
  }

  /** Records a received large answer; `tookMillis` is the time from its first to its last byte. */
  addSample(bytes: number, tookMillis: number, now: number): void {
    const bytesPerMilli = tookMillis > 0 ? bytes / tookMillis : this.configuredBytesPerMilli;
    this.#samples = this.#samples.filter(({ at }) => now - at < WINDOW_MILLIS);
    this.#samples.push({ at: now, bytesPerMilli });
    const fastest = Math.max(...this.#samples.map((sample) => sample.bytesPerMilli));
    if (this.#samples.length >= MIN_SAMPLES || fastest > this.#estimate.bytesPerMilli) {
      this.#estimate = { at: now, bytesPerMilli: fastest };
    }
  }

  /** Returns the currently estimated width of the link. */
  bytesPerMilli(now: number): number {
    if (now - this.#estimate.at >= ESTIMATE_TTL_MILLIS) {
      return this.configuredBytesPerMilli;
    }
    const minimum = this.configuredBytesPerMilli * MIN_WIDTH_SHARE;
    return Math.min(this.configuredBytesPerMilli, Math.max(this.#estimate.bytesPerMilli, minimum));
  }
}
