/** What follows from the end of an attempt: an answer, another try, or giving up. Nothing that may have run is tried again unless its service allows it. */
import type { FenceRefusal } from '../lease/types.js';
import type { Answers } from './answers.js';
import type { Settlement } from './claim.js';
import type { Dispatcher } from './dispatcher.js';
import type { RequestIntake } from './request-intake.js';
import type { RouterContext } from './router-context.js';
import type { AttemptNumber, AttemptResult } from './types.js';
import type { UpstreamState } from './upstream-state.js';
import type { Attempt, Work } from './work.js';

/** Pause of an upstream that refused for overload and named no time itself. */
const OVERLOAD_PAUSE_MILLIS = 20;
const LONGEST_OVERLOAD_PAUSE_MILLIS = 1000;
/** Pause of a shard's owner that can't be reached. */
const UNREACHABLE_PAUSE_MILLIS = 50;
const PAUSE_JITTER = 0.5;
/** A deadline that passed speaks against an upstream only when the attempt had this many service times. */
const SLOW_ATTEMPT_FACTOR = 5;
/** And this long, or half of the service's own deadline if that is less: callers may ask for next to no time. */
const LEAST_SLOW_MILLIS = 200;
const FIRST_SERVER_ERROR = 500;

export class AttemptResults {
  constructor(
    private readonly context: RouterContext,
    private readonly dispatcher: Dispatcher,
    private readonly answers: Answers,
    private readonly intake: RequestIntake,
  ) {}

  /** An attempt ended; one that is not known (any more) is ignored. */
  ended(number: AttemptNumber, result: AttemptResult): void {
    const attempt = this.context.attempts.get(number);
    if (attempt === undefined) {
      return;
    }
    this.context.attempts.delete(number);
    attempt.upstream.inFlight -= 1;
    attempt.work.service.inFlight -= 1;
    this.takeEvidence(attempt, result);
    if (attempt.abandoned) {
      this.dispatcher.drainUpstream(attempt.upstream);
      return;
    }
    attempt.work.attempt = null;
    if (attempt.work.phase === 'done') {
      this.answers.settle(attempt.work, lateSettlement(attempt.work, result));
    } else {
      this.continue(attempt, result);
    }
    this.dispatcher.drainUpstream(attempt.upstream);
  }

  /** Gives up an attempt that no answer can come from any more. */
  abandon(attempt: Attempt): void {
    this.detach(attempt);
    this.broken(attempt);
  }

  /** Gives up an attempt on a slow upstream, which counts against it, and makes the next one. */
  moveOn(attempt: Attempt): void {
    const { work, upstream } = attempt;
    this.countFailure(attempt);
    this.detach(attempt);
    work.noteMayHaveRun();
    work.avoid = upstream;
    this.dispatcher.extendWait(work);
    this.dispatcher.requeue(work);
  }

  /** Its end, when it is reported, changes nothing for its work. */
  private detach(attempt: Attempt): void {
    attempt.abandoned = true;
    attempt.work.attempt = null;
    this.context.emit({ type: 'cancel-attempt', attempt: attempt.number });
  }

  private continue(attempt: Attempt, result: AttemptResult): void {
    const { work } = attempt;
    switch (result.type) {
      case 'answered':
        work.service.lanes.find(work.shard)?.resume();
        this.deliver(attempt, result);
        return;
      case 'refused':
        this.refused(attempt, result.refusal);
        return;
      case 'connect-failed':
        this.connectFailed(attempt);
        return;
      case 'broken':
      case 'cancelled':
        this.broken(attempt);
    }
  }

  private deliver(attempt: Attempt, result: AttemptResult & { readonly type: 'answered' }): void {
    for (const member of this.answers.deliver(attempt.work, attempt, result)) {
      this.intake.arriveAlone(member);
    }
  }

  /** The upstream turned it away before it started. */
  private refused(attempt: Attempt, refusal: FenceRefusal): void {
    const { work, upstream } = attempt;
    work.avoid = upstream;
    if (refusal === 'overloaded') {
      this.retryWithinBudget(work);
      return;
    }
    if (work.shard !== null) {
      this.holdShard(attempt);
    } else if (refusal !== 'draining') {
      this.context.lease.requestSync(this.context.now);
      this.retryWithinBudget(work);
      return;
    }
    this.dispatcher.requeue(work);
  }

  private connectFailed(attempt: Attempt): void {
    const { work, upstream } = attempt;
    work.avoid = upstream;
    if (work.shard === null) {
      this.retryWithinBudget(work);
      return;
    }
    // Nobody else may serve the key: wait for the owner to come back or to change.
    upstream.pausedUntil = Math.max(upstream.pausedUntil, this.context.now + UNREACHABLE_PAUSE_MILLIS);
    this.holdShard(attempt);
    this.dispatcher.requeue(work);
  }

  private broken(attempt: Attempt): void {
    const { work, upstream } = attempt;
    work.noteMayHaveRun();
    work.avoid = upstream;
    const repeatable = work.claim === null && work.service.definition.repeatable;
    if (!repeatable) {
      this.answers.refuseWork(work, 'upstream-failed', null);
      return;
    }
    if (work.shard !== null) {
      this.holdShard(attempt);
    }
    this.dispatcher.extendWait(work);
    this.retryWithinBudget(work);
  }

  /** Gives a shard's lane a pause and asks for news, unless its owner changed since the attempt was sent. */
  private holdShard(attempt: Attempt): void {
    const { context } = this;
    const { shard, service } = attempt.work;
    if (shard === null) {
      return;
    }
    const owner = context.ownerOf(shard);
    if (owner !== undefined && owner.epoch !== attempt.grant?.epoch) {
      return;
    }
    service.lanes.obtain(shard, owner?.upstream.id ?? null).pause(context.now);
    context.lease.requestSync(context.now);
  }

  private retryWithinBudget(work: Work): void {
    if (work.service.retryBudget.tryRetry()) {
      this.dispatcher.requeue(work);
      return;
    }
    this.answers.refuseWork(work, 'retry-budget-spent', this.dispatcher.retryAfter(work));
  }

  private takeEvidence(attempt: Attempt, result: AttemptResult): void {
    const { now } = this.context;
    const { upstream, work } = attempt;
    const took = now - attempt.startedAt;
    switch (result.type) {
      case 'answered':
        upstream.answered(took, result.load, now);
        this.countAnswer(attempt, result.status, took);
        return;
      case 'refused':
        this.countRefusal(upstream, result.refusal, result.retryAfterMillis);
        return;
      case 'connect-failed':
        upstream.connectionFailed(now);
        this.countFailure(attempt);
        return;
      case 'broken':
        this.countFailure(attempt);
        return;
      case 'cancelled':
        if (work.timedOut && took >= slowAttemptMillis(attempt)) {
          this.countFailure(attempt);
        }
    }
  }

  private countAnswer(attempt: Attempt, status: number, took: number): void {
    const { upstream, work } = attempt;
    if (work.shard !== null) {
      this.context.reporter.answered(work.shard, took);
    }
    if (status >= FIRST_SERVER_ERROR) {
      this.countFailure(attempt);
    } else {
      upstream.succeeded(this.context.now);
    }
  }

  private countRefusal(
    upstream: UpstreamState,
    refusal: FenceRefusal,
    retryAfterMillis: number | null,
  ): void {
    const { now, random } = this.context;
    if (refusal === 'draining') {
      upstream.evidence.refusedAsDraining(now);
    }
    if (refusal === 'overloaded') {
      upstream.slotLimit.overloaded(now);
      const asked = retryAfterMillis ?? random.jitter(OVERLOAD_PAUSE_MILLIS, PAUSE_JITTER);
      const pause = Math.min(LONGEST_OVERLOAD_PAUSE_MILLIS, asked);
      upstream.pausedUntil = Math.max(upstream.pausedUntil, now + pause);
    }
  }

  private countFailure(attempt: Attempt): void {
    const { now } = this.context;
    const { upstream, work } = attempt;
    const { service } = work;
    const ejected = upstream.ejection.failed(now, service.ejectedCount(now), service.upstreams.length);
    if (ejected) {
      this.context.emit({
        type: 'log',
        level: 'warn',
        event: 'upstream-ejected',
        fields: { upstream: upstream.id, service: service.name, until: upstream.ejection.ejectedUntil },
      });
    }
  }
}

function slowAttemptMillis({ upstream, work }: Attempt): number {
  const least = Math.min(LEAST_SLOW_MILLIS, work.service.definition.deadlineMillis / 2);
  return Math.max(least, upstream.serviceMillis * SLOW_ATTEMPT_FACTOR);
}

/** The caller was answered or left before the attempt ended; what became of it still counts for the ledger. */
function lateSettlement(work: Work, result: AttemptResult): Settlement {
  if (result.type === 'answered') {
    return { outcome: 'ran', answer: result.stored };
  }
  const provedNotRun = result.type === 'refused' || result.type === 'connect-failed';
  const outcome = provedNotRun && !work.mayHaveRun ? 'not-run' : 'unknown';
  return { outcome, answer: null };
}
