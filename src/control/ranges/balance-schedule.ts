/** When a leader looks at the balance of loads among the owners of ranges, and when it joins neighbouring ranges. */
import type { MonotonicMillis } from '../../model/identifiers.js';

/** Time between two looks at the balance of loads. */
const BALANCE_MILLIS = 500;
/** After a report, others are waited for this long. */
const REPORTS_GATHER_MILLIS = 120;
/** Shortest time between two looks at the balance: each move is news for every router. */
const LEAST_BALANCE_MILLIS = 350;
/** Time between two joins of neighbouring ranges. */
const JOIN_MILLIS = 2500;

export class BalanceSchedule {
  #nextAt: MonotonicMillis;
  #lastAt = Number.NEGATIVE_INFINITY;
  #joinAt: MonotonicMillis;

  constructor(now: MonotonicMillis) {
    this.#nextAt = now + BALANCE_MILLIS;
    this.#joinAt = now + JOIN_MILLIS;
  }

  /** When the balance is looked at next. */
  get nextAt(): MonotonicMillis {
    return this.#nextAt;
  }

  /** A report of loads came: the next look comes soon. */
  reported(now: MonotonicMillis): void {
    const soonest = Math.max(now + REPORTS_GATHER_MILLIS, this.#lastAt + LEAST_BALANCE_MILLIS);
    this.#nextAt = Math.min(this.#nextAt, soonest);
  }

  /** Whether it is time for a look, which then counts as done. */
  takeBalance(now: MonotonicMillis): boolean {
    if (now < this.#nextAt) {
      return false;
    }
    this.#nextAt = now + BALANCE_MILLIS;
    this.#lastAt = now;
    return true;
  }

  /** The same for a join. */
  takeJoin(now: MonotonicMillis): boolean {
    if (now < this.#joinAt) {
      return false;
    }
    this.#joinAt = now + JOIN_MILLIS;
    return true;
  }
}
