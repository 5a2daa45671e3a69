/**
 * The granter's side of session leases, for one leadership. It decides whom to call with what, when a lease may be
 * renewed, and when one is over; the control node carries calls out, proposes changes and runs quorum rounds.
 *
 * A renewal extends a lease to `stamp + leaseMillis` of the holder's clock, where the stamp came with an earlier answer.
 * It is sent only if a quorum round that began after that answer was received has confirmed the leadership. The lease
 * is counted as over only strictly after `leaseBound(receivedAt)`; lease-bound.ts has the argument. Leases of earlier
 * leaders are bounded from the election.
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

/** After a failed call the next one waits for this share of the renewal time. */
const RETRY_SHARE = 1 / 8;

export class LeaseGranter {
  readonly #config: GranterConfig;
  readonly #sessions = new Map<UpstreamId, GranterSession>();
  readonly #schedule: SessionSchedule;
  readonly #random: ReturnType<typeof xoroshiro128plus>;
  /** Answers received so far; quorum rounds are placed among them. */
  #answers = 0;

  constructor(config: GranterConfig) {
    this.#config = config;
    this.#random = xoroshiro128plus(config.seed);
    this.#schedule = new SessionSchedule(config.timings.renewMillis, config.electedAt);
  }

  /** Takes what the registry wants of one session. */
  setTarget(target: SessionTarget, now: MonotonicMillis): void {
    this.#schedule.put(this.#retarget(target, now), now);
  }

  /** The upstream is gone from the registry. */
  dropSession(upstream: UpstreamId): void {
    const session = this.#sessions.get(upstream);
    if (session !== undefined) {
      this.#sessions.delete(upstream);
      this.#schedule.delete(session);
    }
  }

  /** Puts an order to an upstream in force, in place of an earlier one about the same shard. */
  setOrder(upstream: UpstreamId, order: ShardOrder, now: MonotonicMillis): void {
    const session = this.#sessions.get(upstream);
    if (session !== undefined) {
      session.orders.set(order);
      this.#schedule.put(session, now);
    }
  }

  /** No order about the shard is in force any more. */
  dropOrder(upstream: UpstreamId, shard: ShardId, now: MonotonicMillis): void {
    const session = this.#sessions.get(upstream);
    if (session !== undefined) {
      session.orders.delete(shard);
      this.#schedule.put(session, now);
    }
  }

  /** Takes the answer to a call; `false` if it answers no call that is outstanding or can't be relied on. */
  answered(upstream: UpstreamId, sequence: number, answer: SessionAnswer, now: MonotonicMillis): boolean {
    const session = this.#sessions.get(upstream);
    const request = session === undefined ? undefined : takeOutstanding(session, sequence);
    if (session === undefined || request === undefined) {
      return false;
    }
    const isRefused = answer.refused !== null && answer.refused !== 'other-incarnation';
    if (answer.upstream !== upstream || answer.term !== this.#config.term || isRefused) {
      this.#noteFailure(session, request, now);
      this.#schedule.put(session, now);
      return false;
    }
    this.#noteAnswer(session, request, answer, now);
    this.#schedule.put(session, now);
    return true;
  }

  /** A call had no answer. */
  failed(upstream: UpstreamId, sequence: number, now: MonotonicMillis): void {
    const session = this.#sessions.get(upstream);
    const request = session === undefined ? undefined : takeOutstanding(session, sequence);
    if (session !== undefined && request !== undefined) {
      this.#noteFailure(session, request, now);
      this.#schedule.put(session, now);
    }
  }

  /** Where a quorum round that begins now stands among the answers; to be given to `confirmed`. */
  markRound(): number {
    return this.#answers;
  }

  /** A quorum round that began at `mark` confirmed the leadership. */
  confirmed(mark: number, now: MonotonicMillis): void {
    for (const session of this.#schedule.awaiting()) {
      const { received, answer, incarnation } = session;
      if (received !== null && received.order <= mark && answer?.incarnation === incarnation) {
        session.confirmed = received;
        this.#schedule.put(session, now);
      }
    }
  }

  /** Whether a renewal that is due, or nearly so, waits for a quorum round. */
  wantsRound(now: MonotonicMillis): boolean {
    return this.#schedule.wantsRound(now);
  }

  /** Ends leases that are over, then gives the calls that are to be made now. */
  takeCalls(now: MonotonicMillis): SessionCall[] {
    this.#schedule.noteStep(now);
    const calls: SessionCall[] = [];
    for (const session of this.#schedule.takeDue(now)) {
      this.#endIfOver(session, now);
      if (this.#schedule.isCallable(session, now)) {
        calls.push(this.#call(session, now));
      }
      this.#schedule.put(session, now);
    }
    return calls;
  }

  /** Changes that the registry is to make; repeated until `setTarget` shows them made. */
  changes(now: MonotonicMillis): SessionChange[] {
    return this.#schedule
      .changing()
      .map((session) => changeOf(session, this.#schedule.isOver(session, now)))
      .filter((change) => change !== undefined);
  }

  views(): SessionView[] {
    return [...this.#sessions.values()].map(viewOf);
  }

  view(upstream: UpstreamId): SessionView | undefined {
    const session = this.#sessions.get(upstream);
    return session === undefined ? undefined : viewOf(session);
  }

  /** When `takeCalls` has something to do next if nothing else happens. */
  nextDeadline(): MonotonicMillis {
    return this.#schedule.nextDeadline();
  }

  #retarget(target: SessionTarget, now: MonotonicMillis): GranterSession {
    const { electedAt, timings } = this.#config;
    const session = this.#sessions.get(target.upstream);
    if (session === undefined) {
      const isKnown = target.incarnation !== null;
      const leaseEnd = isKnown ? leaseBound(timings, electedAt) : Number.NEGATIVE_INFINITY;
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
      session.enter('greeting', now);
      session.received = null;
      session.answer = null;
      session.leaseEnd = Number.NEGATIVE_INFINITY;
      return;
    }
    session.enter('leased', now);
    session.leaseEnd = leaseBound(this.#config.timings, now);
  }

  #noteAnswer(
    session: GranterSession,
    request: SessionRequest,
    answer: SessionAnswer,
    now: MonotonicMillis,
  ): void {
    this.#answers += 1;
    session.failingSince = null;
    session.notBefore = Number.NEGATIVE_INFINITY;
    session.answer = answer;
    session.received = { stamp: answer.stamp, receivedAt: now, order: this.#answers };
    if (answer.incarnation !== session.incarnation) {
      session.phase = session.incarnation === null ? 'greeting' : 'ending';
      session.confirmed = null;
      return;
    }
    if (session.phase === 'greeting') {
      session.enter('leased', now);
      return;
    }
    if (session.phase === 'leased' && request.incarnation === answer.incarnation) {
      session.acknowledge(request, answer);
    }
  }

  #noteFailure(session: GranterSession, request: SessionRequest, now: MonotonicMillis): void {
    session.failingSince ??= now;
    session.notBefore = now + this.#config.timings.renewMillis * RETRY_SHARE;
    session.nextCallAt = Math.min(session.nextCallAt, session.notBefore);
    session.forgetSent(request);
  }

  #endIfOver(session: GranterSession, now: MonotonicMillis): void {
    const isOpen =
      session.phase === 'leased' || (session.phase === 'greeting' && session.incarnation !== null);
    if (isOpen && this.#schedule.isOver(session, now)) {
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
    const takesTurn = stamp === null || stamp.order > session.renewedOrder;
    if (now >= session.nextCallAt && takesTurn) {
      session.nextCallAt = now + this.#renewalDelay();
    }
    session.renewedOrder = stamp?.order ?? session.renewedOrder;
    const validUntil = stamp === null ? null : stamp.stamp + timings.leaseMillis;
    const request = session.send({ cluster, leader, term }, validUntil);
    return { upstream: session.target.upstream, address: session.target.address, request };
  }

  /** Seven to eight eighths of the renewal time, so that upstreams drift apart. */
  #renewalDelay(): number {
    const longest = Math.floor(this.#config.timings.renewMillis);
    return uniformInt(this.#random, Math.floor((longest * 7) / 8), longest);
  }
}

/** Takes the call that `sequence` answers; `undefined` if it isn't outstanding. */
function takeOutstanding(session: GranterSession, sequence: number): SessionRequest | undefined {
  const request = session.outstanding;
  if (request === null || request.sequence !== sequence) {
    return undefined;
  }
  session.outstanding = null;
  return request;
}
