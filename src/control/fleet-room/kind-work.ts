/** What requests of one kind take at an upstream of speed 1, over all routers. */

/** The mean is taken over about so many requests. */
const MEAN_REQUESTS = 300;
/** Kinds that are remembered at most; the routes of a declaration are far fewer. */
const MOST_KINDS = 1000;

interface Mean {
  millis: number;
  requests: number;
}

export class KindWork {
  readonly #means = new Map<string, Mean>();

  /** Requests that took so long at an upstream of this speed. */
  add(kind: string, requests: number, workMillis: number, speed: number): void {
    if (!this.#means.has(kind) && this.#means.size >= MOST_KINDS) {
      return;
    }
    const mean = this.#means.get(kind) ?? { millis: 0, requests: 0 };
    this.#means.set(kind, mean);
    mean.requests = Math.min(MEAN_REQUESTS, mean.requests + requests);
    mean.millis += Math.min(1, requests / mean.requests) * ((workMillis / requests) * speed - mean.millis);
  }

  /** Milliseconds; `null` while none was measured. */
  millisOf(kind: string): number | null {
    return this.#means.get(kind)?.millis ?? null;
  }
}
