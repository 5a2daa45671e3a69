/** Mean duration of requests of each kind at an upstream of speed 1, over all routers. */

/** The mean covers about this many of the latest requests. */
const MEAN_REQUESTS = 300;
/** Upper bound of the remembered kinds; a declaration has far fewer routes. */
const MAX_KINDS = 1000;

interface Mean {
  millis: number;
  requests: number;
}

export class KindDurations {
  readonly #means = new Map<string, Mean>();

  /** Records requests that took `workMillis` together at an upstream of this speed. */
  add(kind: string, requests: number, workMillis: number, speed: number): void {
    if (!this.#means.has(kind) && this.#means.size >= MAX_KINDS) {
      return;
    }
    const mean = this.#means.get(kind) ?? { millis: 0, requests: 0 };
    this.#means.set(kind, mean);
    mean.requests = Math.min(MEAN_REQUESTS, mean.requests + requests);
    mean.millis += Math.min(1, requests / mean.requests) * ((workMillis / requests) * speed - mean.millis);
  }

  /** Mean duration in milliseconds; `null` before the first measurement. */
  meanMillisOf(kind: string): number | null {
    return this.#means.get(kind)?.millis ?? null;
  }
}
