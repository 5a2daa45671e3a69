/**
 * The granter's side of session leases, for one leadership. It decides which upstreams to call with which request, when a
 * lease may be renewed, and when one is over; the control node executes calls, proposes changes and runs quorum rounds.
 *
 * A renewal extends a lease to `stamp + leaseMillis` of the holder's clock, where the stamp is from an earlier answer. It is
 * sent only if a quorum round that began after the receipt of that answer has confirmed the leadership. The lease counts
 * as over only strictly after `leaseBound(receivedAt)`; lease-bound.ts contains the proof. Leases of earlier leaders are
 * bounded from the election.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { MonotonicMillis, ShardId, UpstreamId } from '../model/identifiers.js';
import { GranterSession } from './granter-session.js';
import type {
  GranterConfig,
  SessionCall,
  SessionChange,
  SessionTarget,
  SessionView,
} from './granter-types.js';
import { leaseBound } from './lease-bound.js';
import { changeOf, viewOf } from './session-facts.js';
import { SessionSchedule } from './session-schedule.js';
import type { SessionAnswer, SessionRequest, ShardOrder } from './types.js';

/** Delay of the next call after a failed one, as a share of the renewal interval. */
const RETRY_SHARE = 1 / 8;

export class LeaseGranter {
  readonly #config: GranterConfig;
  readonly #sessions = new Map<UpstreamId, GranterSession>();
  readonly #schedule: SessionSchedule;
  readonly #random: ReturnType<typeof xoroshiro128plus>;
  /** Number of answers received, which orders quorum rounds relative to answers. */
  #answerCount = 0;

  constructor(config: GranterConfig) {
    this.#config = config;
    this.#random = xoroshiro128plus(config.seed);
    this.#schedule = new SessionSchedule(config.timings.renewMillis, config.electedAt);
  }

  /** Sets the desired state of one session. */
  setTarget(target: SessionTarget, now: MonotonicMillis): void {
    this.#schedule.update(this.#updateSession(target, now), now);
  }

  /** Removes the session of an upstream that was removed from the registry. */
  dropSession(upstream: UpstreamId): void {
    const session = this.#sessions.get(upstream);
    if (session !== undefined) {
      this.#sessions.delete(upstream);
      this.#schedule.delete(session);
    }
  }

  /** Sets an order to an upstream, replacing an earlier one about the same shard. */
  setOrder(upstream: UpstreamId, order: ShardOrder, now: MonotonicMillis): void {
    const session = this.#sessions.get(upstream);
    if (session !== undefined) {
      session.orders.set(order);
      this.#schedule.update(session, now);
    }
  }

  /** Removes the order about a shard. */
  dropOrder(upstream: UpstreamId, shard: ShardId, now: MonotonicMillis): void {
    const session = this.#sessions.get(upstream);
    if (session !== undefined) {
      session.orders.delete(shard);
      this.#schedule.update(session, now);
    }
  }

  /** Processes the answer to a call. Returns `false` if the call isn't outstanding or the answer can't be relied on. */
  handleAnswer(upstream: UpstreamId, sequence: number, answer: SessionAnswer, now: MonotonicMillis): boolean {
    const session = this.#sessions.get(upstream);
    const request = session === undefined ? undefined : takeOutstanding(session, sequence);
    if (session === undefined || request === undefined) {
      return false;
    }
    const isRefused = answer.refused !== null && answer.refused !== 'other-incarnation';
    if (answer.upstream !== upstream || answer.term !== this.#config.term || isRefused) {
      this.#recordFailure(session, request, now);
      this.#schedule.update(session, now);
      return false;
    }
    this.#recordAnswer(session, request, answer, now);
    this.#schedule.update(session, now);
    return true;
  }

  /** Processes a call that had no answer. */
  handleFailure(upstream: UpstreamId, sequence: number, now: MonotonicMillis): void {
    const session = this.#sessions.get(upstream);
    const request = session === undefined ? undefined : takeOutstanding(session, sequence);
    if (session !== undefined && request !== undefined) {
      this.#recordFailure(session, request, now);
      this.#schedule.update(session, now);
    }
  }

  /** Returns the position of a quorum round that begins now among the answers, to be passed to `confirmRound`. */
  markRound(): number {
    return this.#answerCount;
  }

  /** Processes the confirmation of the leadership by a quorum round that began at `mark`. */
  confirmRound(mark: number, now: MonotonicMillis): void {
    for (const session of this.#schedule.awaitingRound()) {
      const { received, answer, incarnation } = session;
      if (received !== null && received.order <= mark && answer?.incarnation === incarnation) {
        session.confirmed = received;
        this.#schedule.update(session, now);
      }
    }
  }

  /** Returns whether a renewal that is due or nearly due waits for a quorum round. */
  needsRound(now: MonotonicMillis): boolean {
    return this.#schedule.needsRound(now);
  }

  /** Ends leases that are over, then returns the calls to be made now. */
  takeCalls(now: MonotonicMillis): SessionCall[] {
    this.#schedule.recordStep(now);
    const calls: SessionCall[] = [];
    for (const session of this.#schedule.takeDue(now)) {
      this.#endIfOver(session, now);
      if (this.#schedule.isCallable(session, now)) {
        calls.push(this.#call(session, now));
      }
      this.#schedule.update(session, now);
    }
    return calls;
  }

  /** Returns the changes that the registry must apply; they are repeated until `setTarget` reflects them. */
  changes(now: MonotonicMillis): SessionChange[] {
    return this.#schedule
      .awaitingChange()
      .map((session) => changeOf(session, this.#schedule.isLeaseOver(session, now)))
      .filter((change) => change !== undefined);
  }

  views(): SessionView[] {
    return [...this.#sessions.values()].map(viewOf);
  }

  view(upstream: UpstreamId): SessionView | undefined {
    const session = this.#sessions.get(upstream);
    return session === undefined ? undefined : viewOf(session);
  }

  /** Returns when `takeCalls` must be called next if nothing else happens. */
  nextDeadline(): MonotonicMillis {
    return this.#schedule.nextDeadline();
  }

  #updateSession(target: SessionTarget, now: MonotonicMillis): GranterSession {
    const { electedAt, timings } = this.#config;
    const session = this.#sessions.get(target.upstream);
    if (session === undefined) {
      const isRegistered = target.incarnation !== null;
      const leaseEnd = isRegistered ? leaseBound(timings, electedAt) : Number.NEGATIVE_INFINITY;
      const added = new GranterSession(target, leaseEnd, now);
      this.#sessions.set(target.upstream, added);
      return added;
    }
    const previous = session.incarnation;
    session.target = target;
    if (target.incarnation !== previous) {
      this.#changeIncarnation(session, now);
    }
    return session;
  }

  #changeIncarnation(session: GranterSession, now: MonotonicMillis): void {
    if (session.incarnation === null) {
      session.enterPhase('greeting', now);
      session.received = null;
      session.answer = null;
      session.leaseEnd = Number.NEGATIVE_INFINITY;
      return;
    }
    session.enterPhase('leased', now);
    session.leaseEnd = leaseBound(this.#config.timings, now);
  }

  #recordAnswer(
    session: GranterSession,
    request: SessionRequest,
    answer: SessionAnswer,
    now: MonotonicMillis,
  ): void {
    this.#answerCount += 1;
    session.failingSince = null;
    session.notBefore = Number.NEGATIVE_INFINITY;
    session.answer = answer;
    session.received = { stamp: answer.stamp, receivedAt: now, order: this.#answerCount };
    if (answer.incarnation !== session.incarnation) {
      session.phase = session.incarnation === null ? 'greeting' : 'ending';
      session.confirmed = null;
      return;
    }
    if (session.phase === 'greeting') {
      session.enterPhase('leased', now);
      return;
    }
    if (session.phase === 'leased' && request.incarnation === answer.incarnation) {
      session.acknowledge(request, answer);
    }
  }

  #recordFailure(session: GranterSession, request: SessionRequest, now: MonotonicMillis): void {
    session.failingSince ??= now;
    session.notBefore = now + this.#config.timings.renewMillis * RETRY_SHARE;
    session.nextCallAt = Math.min(session.nextCallAt, session.notBefore);
    session.markUnsent(request);
  }

  #endIfOver(session: GranterSession, now: MonotonicMillis): void {
    const isOpen =
      session.phase === 'leased' || (session.phase === 'greeting' && session.incarnation !== null);
    if (isOpen && this.#schedule.isLeaseOver(session, now)) {
      session.phase = 'ending';
      session.confirmed = null;
    }
  }

  #call(session: GranterSession, now: MonotonicMillis): SessionCall {
    const { cluster, leader, term, timings } = this.#config;
    const stamp = session.phase === 'leased' && session.mayRenew() ? session.confirmed : null;
    if (stamp !== null) {
      session.leaseEnd = Math.max(session.leaseEnd, leaseBound(timings, stamp.receivedAt));
    }
    const isNewStamp = stamp === null || stamp.order > session.renewedOrder;
    if (now >= session.nextCallAt && isNewStamp) {
      session.nextCallAt = now + this.#renewalDelay();
    }
    session.renewedOrder = stamp?.order ?? session.renewedOrder;
    const validUntil = stamp === null ? null : stamp.stamp + timings.leaseMillis;
    const request = session.nextRequest({ cluster, leader, term }, validUntil);
    return { upstream: session.target.upstream, address: session.target.address, request };
  }

  /** Returns seven to eight eighths of the renewal interval, so that the calls of the upstreams spread out. */
  #renewalDelay(): number {
    const maxDelay = Math.floor(this.#config.timings.renewMillis);
    return uniformInt(this.#random, Math.floor((maxDelay * 7) / 8), maxDelay);
  }
}

/** Removes and returns the outstanding call with this sequence number; `undefined` if it isn't outstanding. */
function takeOutstanding(session: GranterSession, sequence: number): SessionRequest | undefined {
  const request = session.outstanding;
  if (request === null || request.sequence !== sequence) {
    return undefined;
  }
  session.outstanding = null;
  return request;
}
