/** How wide a router's link is at present: at most what the settings say, less if large answers arrive more slowly. */

/** The fastest arrival of this time counts: a slow upstream, or answers side by side, don't make a narrow link. */
const WINDOW_MILLIS = 1000;
/** Fewer arrivals say too little: each may be slow by its upstream. */
const LEAST_SAMPLES = 2;
/** Share of the settings' width that is the least believed: slow upstreams must not stop large answers. */
const LEAST_SHARE = 0.25;

interface Sample {
  readonly at: number;
  readonly bytesPerMilli: number;
}

export class LinkWidth {
  #samples: Sample[] = [];

  /** `mostBytesPerMilli`: as the settings say. */
  constructor(readonly mostBytesPerMilli: number) {}

  /** A large answer came in, from its first byte to its last in `tookMillis`. */
  carried(bytes: number, tookMillis: number, now: number): void {
    const bytesPerMilli = tookMillis > 0 ? bytes / tookMillis : this.mostBytesPerMilli;
    this.#samples.push({ at: now, bytesPerMilli });
  }

  /** Bytes a millisecond that the link carries now, as far as is known. */
  bytesPerMilli(now: number): number {
    this.#samples = this.#samples.filter(({ at }) => now - at < WINDOW_MILLIS);
    if (this.#samples.length < LEAST_SAMPLES) {
      return this.mostBytesPerMilli;
    }
    const measured = Math.max(...this.#samples.map(({ bytesPerMilli }) => bytesPerMilli));
    return Math.min(this.mostBytesPerMilli, Math.max(measured, this.mostBytesPerMilli * LEAST_SHARE));
  }
}
