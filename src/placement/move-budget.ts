/** Counts moves within the last minute against a budget. */
import type { MonotonicMillis } from '../model/identifiers.js';

const MINUTE_MILLIS = 60_000;

export class MoveBudget {
  /** Times of moves within the last minute, oldest first from `#first` on. */
  #times: MonotonicMillis[] = [];
  #first = 0;
  movesPerMinute = 0;

  /** Moves that the budget still allows now. */
  available(now: MonotonicMillis): number {
    this.#forget(now);
    return Math.max(0, Math.floor(this.movesPerMinute) - (this.#times.length - this.#first));
  }

  /** Counts a move; also one that goes beyond the budget. */
  take(now: MonotonicMillis): void {
    this.#times.push(now);
  }

  /** When the oldest move leaves the count. */
  nextAt(): MonotonicMillis {
    return (this.#times[this.#first] ?? Number.POSITIVE_INFINITY) + MINUTE_MILLIS;
  }

  #forget(now: MonotonicMillis): void {
    while ((this.#times[this.#first] ?? now) + MINUTE_MILLIS <= now) {
      this.#first += 1;
    }
    if (this.#first * 2 > this.#times.length) {
      this.#times = this.#times.slice(this.#first);
      this.#first = 0;
    }
  }
}
