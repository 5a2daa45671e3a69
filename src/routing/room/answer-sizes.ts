/** How large the answers of each route are, from those that came. */

/** Weight of the latest answer in the smoothed size. */
const SMOOTHING = 0.1;
/** Routes whose sizes are kept; the one whose answer came longest ago is let go of. */
const MOST_ROUTES = 1000;

export class AnswerSizes {
  readonly #bytes = new Map<string, number>();

  /** An answer of a route came. */
  add(route: string, bytes: number): void {
    const before = this.#bytes.get(route) ?? bytes;
    this.#bytes.delete(route);
    this.#bytes.set(route, before + SMOOTHING * (bytes - before));
    this.#dropOldest();
  }

  /** Smoothed bytes of a route's answers; 0 while none came. */
  expected(route: string): number {
    return this.#bytes.get(route) ?? 0;
  }

  #dropOldest(): void {
    const [oldest] = this.#bytes.keys();
    if (this.#bytes.size > MOST_ROUTES && oldest !== undefined) {
      this.#bytes.delete(oldest);
    }
  }
}
