/** Schedules a leader's checks of the load balance among range owners and the joins of neighbouring ranges. */
import type { MonotonicMillis } from '../../model/identifiers.js';

/** Time between two balance checks. */
const BALANCE_INTERVAL_MILLIS = 500;
/** Time to wait after a load report for further reports. */
const REPORT_GATHER_MILLIS = 120;
/** Minimum time between two balance checks: each move is an update for every router. */
const MIN_BALANCE_GAP_MILLIS = 350;
/** Time between two joins of neighbouring ranges. */
const JOIN_INTERVAL_MILLIS = 2500;

export class BalanceSchedule {
  #nextBalanceAt: MonotonicMillis;
  #lastBalanceAt = Number.NEGATIVE_INFINITY;
  #nextJoinAt: MonotonicMillis;

  constructor(now: MonotonicMillis) {
    this.#nextBalanceAt = now + BALANCE_INTERVAL_MILLIS;
    this.#nextJoinAt = now + JOIN_INTERVAL_MILLIS;
  }

  /** Time of the next balance check. */
  get nextAt(): MonotonicMillis {
    return this.#nextBalanceAt;
  }

  /** Brings the next balance check forward after a load report. */
  onLoadReport(now: MonotonicMillis): void {
    const soonest = Math.max(now + REPORT_GATHER_MILLIS, this.#lastBalanceAt + MIN_BALANCE_GAP_MILLIS);
    this.#nextBalanceAt = Math.min(this.#nextBalanceAt, soonest);
  }

  /** Returns whether a balance check is due. If so, schedules the next one. */
  startBalanceIfDue(now: MonotonicMillis): boolean {
    if (now < this.#nextBalanceAt) {
      return false;
    }
    this.#nextBalanceAt = now + BALANCE_INTERVAL_MILLIS;
    this.#lastBalanceAt = now;
    return true;
  }

  /** Returns whether a join is due. If so, schedules the next one. */
  startJoinIfDue(now: MonotonicMillis): boolean {
    if (now < this.#nextJoinAt) {
      return false;
    }
    this.#nextJoinAt = now + JOIN_INTERVAL_MILLIS;
    return true;
  }
}
