/** Limits the number of moves within any minute. */
import type { MonotonicMillis } from '../model/identifiers.js';

const MINUTE_MILLIS = 60_000;

export class MoveBudget {
  /** Times of moves, oldest first; the last minute begins at index `#first`. */
  #times: MonotonicMillis[] = [];
  #first = 0;
  movesPerMinute = 0;

  /** Returns the number of moves that the budget currently allows. */
  available(now: MonotonicMillis): number {
    this.#forget(now);
    return Math.max(0, Math.floor(this.movesPerMinute) - (this.#times.length - this.#first));
  }

  /** Records a move, even if it exceeds the budget. */
  recordMove(now: MonotonicMillis): void {
    this.#times.push(now);
  }

  /** Returns when the oldest move stops counting. */
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
