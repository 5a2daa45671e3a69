/** Counts the events of the last minute, in buckets of one second. */
import type { MonotonicMillis } from '../model/identifiers.js';

const SECONDS = 60;
const MILLIS_PER_SECOND = 1000;

export class MinuteCount {
  readonly #counts = new Array<number>(SECONDS).fill(0);
  /** The latest second covered by `#counts`. */
  #second = Number.NEGATIVE_INFINITY;

  add(now: MonotonicMillis): void {
    this.#advance(now);
    const index = this.#second % SECONDS;
    this.#counts[index] = (this.#counts[index] ?? 0) + 1;
  }

  /** Returns the number of events in the current second and the 59 seconds before it. */
  count(now: MonotonicMillis): number {
    this.#advance(now);
    return this.#counts.reduce((sum, count) => sum + count, 0);
  }

  #advance(now: MonotonicMillis): void {
    const second = Math.max(this.#second, Math.floor(now / MILLIS_PER_SECOND));
    const first = Math.max(this.#second + 1, second - SECONDS + 1);
    for (let cleared = first; cleared <= second; cleared += 1) {
      this.#counts[cleared % SECONDS] = 0;
    }
    this.#second = second;
  }
}
