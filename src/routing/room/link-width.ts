/** How wide a router's link is at present: at most what the settings say, less if large answers arrive more slowly. */

/** The fastest arrival of this time counts: a slow upstream, or answers side by side, don't make a narrow link. */
const WINDOW_MILLIS = 1000;
/** Fewer arrivals say too little: each may be slow by its upstream. */
const LEAST_SAMPLES = 2;
/** What was found holds this long while fewer arrive: a narrow link carries few. */
const KEPT_MILLIS = 2000;
/** Share of the settings' width that is the least believed: slow upstreams must not stop large answers. */
const LEAST_SHARE = 0.25;

interface Sample {
  readonly at: number;
  readonly bytesPerMilli: number;
}

export class LinkWidth {
  /** Of the last `WINDOW_MILLIS`. */
  #samples: Sample[] = [];
  #found: Sample;

  /** `mostBytesPerMilli`: as the settings say. */
  constructor(readonly mostBytesPerMilli: number) {
    this.#found = { at: Number.NEGATIVE_INFINITY, bytesPerMilli: mostBytesPerMilli };
  }

  /** A large answer came in, from its first byte to its last in `tookMillis`. */
  carried(bytes: number, tookMillis: number, now: number): void {
    const bytesPerMilli = tookMillis > 0 ? bytes / tookMillis : this.mostBytesPerMilli;
    this.#samples = this.#samples.filter(({ at }) => now - at < WINDOW_MILLIS);
    this.#samples.push({ at: now, bytesPerMilli });
    const fastest = Math.max(...this.#samples.map((sample) => sample.bytesPerMilli));
    if (this.#samples.length >= LEAST_SAMPLES || fastest > this.#found.bytesPerMilli) {
      this.#found = { at: now, bytesPerMilli: fastest };
    }
  }

  /** Bytes a millisecond that the link carries now, as far as is known. */
  bytesPerMilli(now: number): number {
    if (now - this.#found.at >= KEPT_MILLIS) {
      return this.mostBytesPerMilli;
    }
    const least = this.mostBytesPerMilli * LEAST_SHARE;
    return Math.min(this.mostBytesPerMilli, Math.max(this.#found.bytesPerMilli, least));
  }
}
