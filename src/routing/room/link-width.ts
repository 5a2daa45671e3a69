/** How wide a router's link is at present: at most what the settings say, less if large answers arrive more slowly. */

/** The fastest arrival of this time counts: a slow upstream, or answers side by side, don't make a narrow link. */
const WINDOW_MILLIS = 1000;
/** Share of the settings' width that is the least believed: some answers must go on being tried. */
const LEAST_SHARE = 0.1;

interface Sample {
  readonly at: number;
  readonly bytesPerMilli: number;
}

export class LinkWidth {
  /** Each slower than the one before it: a slower one counts once the faster ones before it are too old. */
  #fastest: Sample[] = [];

  /** `mostBytesPerMilli`: as the settings say. */
  constructor(readonly mostBytesPerMilli: number) {}

  /** A large answer came in, from its first byte to its last in `tookMillis`. */
  carried(bytes: number, tookMillis: number, now: number): void {
    const bytesPerMilli = tookMillis > 0 ? bytes / tookMillis : this.mostBytesPerMilli;
    this.#fastest = this.#fastest.filter((sample) => sample.bytesPerMilli > bytesPerMilli);
    this.#fastest.push({ at: now, bytesPerMilli });
  }

  /** Bytes a millisecond that the link carries now, as far as is known. */
  bytesPerMilli(now: number): number {
    this.#fastest = this.#fastest.filter(({ at }) => now - at < WINDOW_MILLIS);
    const measured = this.#fastest[0]?.bytesPerMilli ?? this.mostBytesPerMilli;
    return Math.min(this.mostBytesPerMilli, Math.max(measured, this.mostBytesPerMilli * LEAST_SHARE));
  }
}
