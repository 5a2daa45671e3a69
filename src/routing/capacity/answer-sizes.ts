/** Estimates the size of each route's answers from those received. */

/** Weight of the latest answer in the smoothed size. */
const SMOOTHING = 0.1;
/** Number of routes whose sizes are kept; beyond it, the route whose last answer is oldest is dropped. */
const MAX_ROUTES = 1000;

export class AnswerSizes {
  readonly #bytes = new Map<string, number>();

  /** Records the size of an answer of a route. */
  add(route: string, bytes: number): void {
    const before = this.#bytes.get(route) ?? bytes;
    this.#bytes.delete(route);
    this.#bytes.set(route, before + SMOOTHING * (bytes - before));
    this.#dropOldest();
  }

  /** Returns the smoothed size of a route's answers in bytes; 0 if none was received. */
  expected(route: string): number {
    return this.#bytes.get(route) ?? 0;
  }

  #dropOldest(): void {
    const [oldest] = this.#bytes.keys();
    if (this.#bytes.size > MAX_ROUTES && oldest !== undefined) {
      this.#bytes.delete(oldest);
    }
  }
}
