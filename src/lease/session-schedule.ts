/**
 * When something is due for each session: a call, the end of its lease, a quorum round. A session is put in its places
 * anew whenever it changes, so that no step looks at sessions for which nothing is due.
 */
import type { MonotonicMillis } from '../model/identifiers.js';
import { DeadlineQueue } from './deadline-queue.js';
import type { GranterSession } from './granter-session.js';

/** While a holder drains or warms shards it is asked after this share of the renewal time. */
const POLL_SHARE = 1 / 8;
/** Renewals that fall due within this share of the renewal time share one quorum round. */
const BATCH_SHARE = 1 / 16;

export class SessionSchedule {
  readonly #renewMillis: number;
  /** When each session may need a call, or its lease ends. */
  readonly #wakes = new DeadlineQueue<GranterSession>();
  /** When each session that awaits a quorum round wants one. */
  readonly #rounds = new DeadlineQueue<GranterSession>();
  /** Sessions whose newest stamp waits for a quorum round. */
  readonly #awaiting = new Set<GranterSession>();
  /** Sessions that the registry has to change something about, now or when their lease is over. */
  readonly #changing = new Set<GranterSession>();
  #lastStepAt: MonotonicMillis;
  /** Last step before the latest stall of this process. */
  #stalledAt: MonotonicMillis = Number.NEGATIVE_INFINITY;
  /** After a stall no lease is given up before this, unless its holder was silent before the stall. */
  #patientUntil: MonotonicMillis = Number.NEGATIVE_INFINITY;

  constructor(renewMillis: number, startedAt: MonotonicMillis) {
    this.#renewMillis = renewMillis;
    this.#lastStepAt = startedAt;
  }

  /** Notes anew when something is due for a session after it changed. */
  put(session: GranterSession, now: MonotonicMillis): void {
    const isAwaiting = session.phase === 'leased' && session.awaitsConfirmation();
    const isFree = isAwaiting && session.outstanding === null;
    const mayWantChange = session.incarnation === null ? session.answer !== null : session.phase === 'ending';
    this.#wakes.set(session, this.#wakeOf(session, now));
    this.#rounds.set(session, isFree ? this.#roundOf(session) : Number.POSITIVE_INFINITY);
    setMembership(this.#awaiting, session, isAwaiting);
    setMembership(this.#changing, session, mayWantChange);
  }

  delete(session: GranterSession): void {
    this.#wakes.delete(session);
    this.#rounds.delete(session);
    this.#awaiting.delete(session);
    this.#changing.delete(session);
  }

  /**
   * A leader that was itself stopped for a while asks its upstreams once more before it gives up their leases; not those
   * which had been silent for a renewal time when it stopped.
   */
  noteStep(now: MonotonicMillis): void {
    if (now - this.#lastStepAt > this.#renewMillis) {
      this.#stalledAt = this.#lastStepAt;
      this.#patientUntil = now + this.#renewMillis;
    }
    this.#lastStepAt = now;
  }

  /** Takes out the sessions for which a call or the end of the lease may be due; each is to be `put` again. */
  takeDue(now: MonotonicMillis): GranterSession[] {
    return this.#wakes.takeDue(now);
  }

  awaiting(): GranterSession[] {
    return [...this.#awaiting];
  }

  changing(): GranterSession[] {
    return [...this.#changing];
  }

  /** Whether a renewal that is due, or nearly so, waits for a quorum round. */
  wantsRound(now: MonotonicMillis): boolean {
    return this.#rounds.next() <= now;
  }

  nextDeadline(): MonotonicMillis {
    return this.#wakes.next();
  }

  /** Whether the lease of a session's incarnation has surely ended. */
  isOver(session: GranterSession, now: MonotonicMillis): boolean {
    return now > this.#lastMomentOf(session);
  }

  isCallable(session: GranterSession, now: MonotonicMillis): boolean {
    return session.outstanding === null && now >= this.#callAt(session, now);
  }

  /** Last moment at which the lease of a session's incarnation isn't given up. */
  #lastMomentOf({ leaseEnd, failingSince }: GranterSession): MonotonicMillis {
    const wasSilent = failingSince !== null && failingSince <= this.#stalledAt - this.#renewMillis;
    return wasSilent ? leaseEnd : Math.max(leaseEnd, this.#patientUntil);
  }

  #wakeOf(session: GranterSession, now: MonotonicMillis): MonotonicMillis {
    const end = this.#endAt(session, now);
    return session.outstanding === null ? Math.min(end, this.#callAt(session, now)) : end;
  }

  /** When the lease is to be ended, or, once it is given up, when it is over. */
  #endAt(session: GranterSession, now: MonotonicMillis): MonotonicMillis {
    if (session.incarnation === null) {
      return Number.POSITIVE_INFINITY;
    }
    if (this.isOver(session, now)) {
      return session.phase === 'ending' ? Number.POSITIVE_INFINITY : now;
    }
    return Math.floor(this.#lastMomentOf(session)) + 1;
  }

  /** When the next call can be made; a renewal that is due and waits for a quorum round isn't timed. */
  #callAt(session: GranterSession, now: MonotonicMillis): MonotonicMillis {
    const { notBefore, nextCallAt } = session;
    if (session.phase !== 'leased') {
      return Math.max(notBefore, nextCallAt);
    }
    if (session.awaitsConfirmation() && now >= nextCallAt) {
      return Number.POSITIVE_INFINITY;
    }
    const news = session.hasNews() ? now : Number.POSITIVE_INFINITY;
    return Math.max(notBefore, Math.min(nextCallAt, news, this.#pollAt(session)));
  }

  /** When to ask again how far a holder is with what it was told. */
  #pollAt(session: GranterSession): MonotonicMillis {
    const { followed, received, orders } = session;
    if (followed === null || received === null) {
      return Number.POSITIVE_INFINITY;
    }
    const isBusy = followed.draining.length > 0 || orders.isWarming(followed.warmed);
    return isBusy ? received.receivedAt + this.#renewMillis * POLL_SHARE : Number.POSITIVE_INFINITY;
  }

  /** A session wants a quorum round a little before its renewal is due, so that renewals share rounds. */
  #roundOf({ nextCallAt, notBefore }: GranterSession): MonotonicMillis {
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
