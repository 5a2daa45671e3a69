/** Schedules a leader's checks of the load balance among range owners and the joins of neighbouring ranges. */
import type { MonotonicMillis } from '../../model/identifiers.js';

/** Time between two balance checks. */
const BALANCE_MILLIS = 500;
/** Time to wait after a load report for further reports. */
const REPORTS_GATHER_MILLIS = 120;
/** Minimum time between two balance checks: each move is an update for every router. */
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

  /** Time of the next balance check. */
  get nextAt(): MonotonicMillis {
    return this.#nextAt;
  }

  /** Brings the next balance check forward after a load report. */
  reported(now: MonotonicMillis): void {
    const soonest = Math.max(now + REPORTS_GATHER_MILLIS, this.#lastAt + LEAST_BALANCE_MILLIS);
    this.#nextAt = Math.min(this.#nextAt, soonest);
  }

  /** Returns whether a balance check is due. If so, schedules the next one. */
  takeBalance(now: MonotonicMillis): boolean {
    if (now < this.#nextAt) {
      return false;
    }
    this.#nextAt = now + BALANCE_MILLIS;
    this.#lastAt = now;
    return true;
  }

  /** Returns whether a join is due. If so, schedules the next one. */
  takeJoin(now: MonotonicMillis): boolean {
    if (now < this.#joinAt) {
      return false;
    }
    this.#joinAt = now + JOIN_MILLIS;
    return true;
  }
}
