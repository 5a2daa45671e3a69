/** What follows from the end of an attempt: an answer, another try, or giving up. Nothing that may have run is tried again unless its service allows it. */
import type { FenceRefusal } from '../lease/types.js';
import type { Answers } from './answers.js';
import { AttemptEvidence } from './attempt-evidence.js';
import type { Settlement } from './claim.js';
import type { Dispatcher } from './dispatcher.js';
import type { NoticeIntake } from './notices/notice-intake.js';
import type { Admission } from './queue/admission.js';
import type { RequestIntake } from './request-intake.js';
import { isOfHotKey } from './room/hot-keys.js';
import type { RouterContext } from './router-context.js';
import type { AttemptNumber, AttemptResult } from './types.js';
import type { UpstreamState } from './upstream/upstream-state.js';
import type { Attempt, Work } from './work.js';

/** Pause of a shard's owner that can't be reached. */
const UNREACHABLE_PAUSE_MILLIS = 50;

export interface AttemptResultsParts {
  readonly context: RouterContext;
  readonly admission: Admission;
  readonly dispatcher: Dispatcher;
  readonly answers: Answers;
  readonly intake: RequestIntake;
  readonly notices: NoticeIntake;
}

export class AttemptResults {
  private readonly context: RouterContext;
  private readonly admission: Admission;
  private readonly dispatcher: Dispatcher;
  private readonly answers: Answers;
  private readonly intake: RequestIntake;
  private readonly notices: NoticeIntake;
  private readonly evidence: AttemptEvidence;

  constructor(parts: AttemptResultsParts) {
    this.context = parts.context;
    this.admission = parts.admission;
    this.dispatcher = parts.dispatcher;
    this.answers = parts.answers;
    this.intake = parts.intake;
    this.notices = parts.notices;
    this.evidence = new AttemptEvidence(parts.context);
  }

  /** An attempt ended; one that is not known (any more) is ignored. */
  ended(number: AttemptNumber, result: AttemptResult): void {
    const attempt = this.context.attempts.get(number);
    if (attempt === undefined) {
      return;
    }
    this.context.attempts.delete(number);
    attempt.upstream.inFlight -= 1;
    attempt.work.service.inFlight -= 1;
    this.notices.ended(attempt, result);
    this.evidence.take(attempt, result);
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
    this.evidence.countFailure(attempt);
    this.detach(attempt);
    work.noteMayHaveRun();
    work.sentAttempts += 1;
    work.avoid = upstream;
    this.admission.extendWait(work);
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
        if (result.recalled === true) {
          this.dispatcher.requeue(work);
          return;
        }
        this.connectFailed(attempt, result.turnedAway === true);
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
    work.sentAttempts += 1;
    if (refusal === 'overloaded') {
      this.retryWithinBudget(work);
      return;
    }
    if (work.terms.route !== null) {
      this.holdShard(attempt);
      this.context.lease.requestSync(this.context.now);
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

  private connectFailed(attempt: Attempt, isTurnedAway: boolean): void {
    const { work, upstream } = attempt;
    work.avoid = upstream;
    if (work.shard === null) {
      this.retryWithinBudget(work);
      return;
    }
    // Nobody else may serve the key: wait for the owner to come back or to change.
    const pause = isTurnedAway ? timeOfFreeSlot(upstream) : UNREACHABLE_PAUSE_MILLIS;
    upstream.pausedUntil = Math.max(upstream.pausedUntil, this.context.now + pause);
    this.holdShard(attempt);
    this.dispatcher.requeue(work);
  }

  private broken(attempt: Attempt): void {
    const { work, upstream } = attempt;
    work.noteMayHaveRun();
    work.sentAttempts += 1;
    work.avoid = upstream;
    if (!work.isRepeatable) {
      this.answers.refuseWork(work, 'upstream-failed', null);
      return;
    }
    if (work.shard !== null) {
      this.holdShard(attempt);
    }
    this.admission.extendWait(work);
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
    if (this.admission.refuseHeldBack(work)) {
      return;
    }
    if (work.sentAttempts >= work.terms.maxAttempts) {
      this.answers.refuseWork(work, 'attempts-spent', this.admission.retryAfter(work));
      return;
    }
    if (!isOfHotKey(work.rank) && work.service.retryBudget.tryRetry()) {
      this.dispatcher.requeue(work);
      return;
    }
    this.answers.refuseWork(work, 'retry-budget-spent', this.admission.retryAfter(work));
  }
}

/** About how long it takes a busy upstream to free a slot. */
function timeOfFreeSlot({ serviceMillis, slotLimit }: UpstreamState): number {
  return Math.max(UNREACHABLE_PAUSE_MILLIS, serviceMillis / slotLimit.most);
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
