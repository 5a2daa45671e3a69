/** Number of events in the last minute, by whole seconds. */
import type { MonotonicMillis } from '../model/identifiers.js';

const SECONDS = 60;
const MILLIS_PER_SECOND = 1000;

export class MinuteCount {
  readonly #counts = new Array<number>(SECONDS).fill(0);
  /** The last second that `#counts` has. */
  #second = Number.NEGATIVE_INFINITY;

  add(now: MonotonicMillis): void {
    this.#advance(now);
    const place = this.#second % SECONDS;
    this.#counts[place] = (this.#counts[place] ?? 0) + 1;
  }

  /** Events of the present second and the 59 before. */
  count(now: MonotonicMillis): number {
    this.#advance(now);
    return this.#counts.reduce((sum, count) => sum + count, 0);
  }

  #advance(now: MonotonicMillis): void {
    const second = Math.max(this.#second, Math.floor(now / MILLIS_PER_SECOND));
    const first = Math.max(this.#second + 1, second - SECONDS + 1);
    for (let old = first; old <= second; old += 1) {
      this.#counts[old % SECONDS] = 0;
    }
    this.#second = second;
  }
}
