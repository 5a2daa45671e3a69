/**
 * Schedules the next event of each session: a call, the end of its lease, or a quorum round. A session is rescheduled
 * whenever it changes, so that no step iterates over sessions for which nothing is due.
 */
import type { MonotonicMillis } from '../model/identifiers.js';
import { DeadlineQueue } from './deadline-queue.js';
import type { GranterSession } from './granter-session.js';

/** Interval at which a holder that drains or warms shards is polled, as a share of the renewal interval. */
const POLL_SHARE = 1 / 8;
/** Renewals that become due within this share of the renewal interval share one quorum round. */
const BATCH_SHARE = 1 / 16;

export class SessionSchedule {
  readonly #renewMillis: number;
  /** Times at which sessions may need a call or their lease ends. */
  readonly #wakeTimes = new DeadlineQueue<GranterSession>();
  /** Times at which sessions that await a quorum round need one. */
  readonly #roundTimes = new DeadlineQueue<GranterSession>();
  /** Sessions whose latest stamp awaits a quorum round. */
  readonly #awaitingRound = new Set<GranterSession>();
  /** Sessions that need a change in the registry, now or when their lease is over. */
  readonly #awaitingChange = new Set<GranterSession>();
  #lastStepAt: MonotonicMillis;
  /** Time of the last step before the latest stall of this process. */
  #stalledAt: MonotonicMillis = Number.NEGATIVE_INFINITY;
  /** End of the grace period after a stall, in which a lease is ended only if its holder was silent before the stall. */
  #graceUntil: MonotonicMillis = Number.NEGATIVE_INFINITY;

  constructor(renewMillis: number, startedAt: MonotonicMillis) {
    this.#renewMillis = renewMillis;
    this.#lastStepAt = startedAt;
  }

  /** Reschedules a session after a change. */
  update(session: GranterSession, now: MonotonicMillis): void {
    const isAwaiting = session.phase === 'leased' && session.awaitsConfirmation();
    const isFree = isAwaiting && session.outstanding === null;
    const mayNeedChange = session.incarnation === null ? session.answer !== null : session.phase === 'ending';
    this.#wakeTimes.set(session, this.#wakeAt(session, now));
    this.#roundTimes.set(session, isFree ? this.#roundAt(session) : Number.POSITIVE_INFINITY);
    setMembership(this.#awaitingRound, session, isAwaiting);
    setMembership(this.#awaitingChange, session, mayNeedChange);
  }

  delete(session: GranterSession): void {
    this.#wakeTimes.delete(session);
    this.#roundTimes.delete(session);
    this.#awaitingRound.delete(session);
    this.#awaitingChange.delete(session);
  }

  /**
   * Records a step of the granter. A leader that was itself stalled calls its upstreams once more before it ends their leases, except those
   * that had been silent for a renewal interval before the stall.
   */
  recordStep(now: MonotonicMillis): void {
    if (now - this.#lastStepAt > this.#renewMillis) {
      this.#stalledAt = this.#lastStepAt;
      this.#graceUntil = now + this.#renewMillis;
    }
    this.#lastStepAt = now;
  }

  /** Removes and returns the sessions for which a call or the end of the lease may be due; each must be rescheduled by `update`. */
  takeDue(now: MonotonicMillis): GranterSession[] {
    return this.#wakeTimes.takeDue(now);
  }

  awaitingRound(): GranterSession[] {
    return [...this.#awaitingRound];
  }

  awaitingChange(): GranterSession[] {
    return [...this.#awaitingChange];
  }

  /** Returns whether a renewal that is due or nearly due waits for a quorum round. */
  needsRound(now: MonotonicMillis): boolean {
    return this.#roundTimes.next() <= now;
  }

  nextDeadline(): MonotonicMillis {
    return this.#wakeTimes.next();
  }

  /** Returns whether the lease of a session's incarnation has certainly ended. */
  isLeaseOver(session: GranterSession, now: MonotonicMillis): boolean {
    return now > this.#lastValidAt(session);
  }

  isCallable(session: GranterSession, now: MonotonicMillis): boolean {
    return session.outstanding === null && now >= this.#callAt(session, now);
  }

  /** Returns the last time at which the lease of a session's incarnation doesn't count as ended. */
  #lastValidAt({ leaseEnd, failingSince }: GranterSession): MonotonicMillis {
    const wasSilent = failingSince !== null && failingSince <= this.#stalledAt - this.#renewMillis;
    return wasSilent ? leaseEnd : Math.max(leaseEnd, this.#graceUntil);
  }

  #wakeAt(session: GranterSession, now: MonotonicMillis): MonotonicMillis {
    const end = this.#endAt(session, now);
    return session.outstanding === null ? Math.min(end, this.#callAt(session, now)) : end;
  }

  /** Returns when the end of the lease must be processed; `Infinity` if there is no lease or its end was already processed. */
  #endAt(session: GranterSession, now: MonotonicMillis): MonotonicMillis {
    if (session.incarnation === null) {
      return Number.POSITIVE_INFINITY;
    }
    if (this.isLeaseOver(session, now)) {
      return session.phase === 'ending' ? Number.POSITIVE_INFINITY : now;
    }
    return Math.floor(this.#lastValidAt(session)) + 1;
  }

  /** Returns when the next call can be made; `Infinity` for a due renewal that waits for a quorum round. */
  #callAt(session: GranterSession, now: MonotonicMillis): MonotonicMillis {
    const { notBefore, nextCallAt } = session;
    if (session.phase !== 'leased') {
      return Math.max(notBefore, nextCallAt);
    }
    if (session.awaitsConfirmation() && now >= nextCallAt) {
      return Number.POSITIVE_INFINITY;
    }
    const changesAt = session.hasUnsentChanges() ? now : Number.POSITIVE_INFINITY;
    return Math.max(notBefore, Math.min(nextCallAt, changesAt, this.#pollAt(session)));
  }

  /** Returns when to poll a holder for its progress in draining or warming shards. */
  #pollAt(session: GranterSession): MonotonicMillis {
    const { lastOrderAnswer, received, orders } = session;
    if (lastOrderAnswer === null || received === null) {
      return Number.POSITIVE_INFINITY;
    }
    const isBusy = lastOrderAnswer.draining.length > 0 || orders.isWarming(lastOrderAnswer.warmed);
    return isBusy ? received.receivedAt + this.#renewMillis * POLL_SHARE : Number.POSITIVE_INFINITY;
  }

  /** Returns when a session needs a quorum round: a little before its renewal is due, so that renewals share rounds. */
  #roundAt({ nextCallAt, notBefore }: GranterSession): MonotonicMillis {
    return Math.max(nextCallAt, notBefore) - this.#renewMillis * BATCH_SHARE;
  }
}

function setMembership(sessions: Set<GranterSession>, session: GranterSession, isMember: boolean): void {
  if (isMember) {
    sessions.add(session);
  } else {
    sessions.delete(session);
  }
}
