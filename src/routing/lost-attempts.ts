/**
 * Abandons attempts before the I/O layer reports their end: attempts whose grant has ended, which can no longer be
 * answered, and reads that take far longer than usual while another upstream could serve them.
 */
import type { AttemptResults } from './attempt-results.js';
import { type Attempt, isOverdue } from './request-group.js';
import type { RouterContext } from './router-context.js';

/** Longest time that an answer may take to arrive after the grant of its attempt ended. */
const ANSWER_GRACE_MILLIS = 50;
/** Interval at which attempts in flight are checked. */
const SWEEP_INTERVAL_MILLIS = 100;

export class LostAttempts {
  private sweepScheduled = false;

  constructor(
    private readonly context: RouterContext,
    private readonly results: AttemptResults,
  ) {}

  /**
   * Called when owners change. Attempts whose grant has ended get a short grace period for their answers: a grant ends only
   * once its holder finished its work or lost its lease, so an answer that isn't in transit by now never arrives.
   */
  markEndedGrants(): void {
    const { context } = this;
    let hasNewlyEnded = false;
    for (const attempt of context.attempts.values()) {
      if (attempt.grantEndedAt === null && this.hasGrantEnded(attempt)) {
        attempt.grantEndedAt = context.now;
        hasNewlyEnded = true;
      }
    }
    if (hasNewlyEnded) {
      context.schedule(context.now + ANSWER_GRACE_MILLIS, { type: 'grants-over' });
    }
  }

  /** Abandons attempts whose grant ended more than the grace period ago. */
  abandonAfterGrace(): void {
    const { now } = this.context;
    for (const attempt of this.current()) {
      if (attempt.grantEndedAt !== null && now >= attempt.grantEndedAt + ANSWER_GRACE_MILLIS) {
        this.results.abandon(attempt);
      }
    }
  }

  /** Schedules the periodic check for overdue reads while any attempt is in flight. */
  scheduleSweep(): void {
    const { context } = this;
    if (!this.sweepScheduled && context.attempts.size > 0) {
      this.sweepScheduled = true;
      context.schedule(context.now + SWEEP_INTERVAL_MILLIS, { type: 'overdue-sweep' });
    }
  }

  /**
   * Abandons overdue reads and retries them elsewhere, as far as the retry budgets allow. A retry may fail, and nobody is left to repeat what
   * a stopping router cut off, so on a planned stop reads are left to their upstreams.
   */
  sweep(): void {
    this.sweepScheduled = false;
    if (this.context.plannedStop === null) {
      this.retryOverdue();
    }
    this.scheduleSweep();
  }

  private retryOverdue(): void {
    for (const attempt of this.current()) {
      if (this.canRetryElsewhere(attempt) && attempt.group.service.retryBudget.tryRetry()) {
        this.results.retryElsewhere(attempt);
      }
    }
  }

  /** Attempts that their groups still rely on. */
  private current(): Attempt[] {
    return [...this.context.attempts.values()].filter(
      (attempt) => !attempt.abandoned && attempt.group.attempt === attempt && attempt.group.phase !== 'done',
    );
  }

  private hasGrantEnded({ grant }: Attempt): boolean {
    if (grant === null || !grant.endsAttempts) {
      return false;
    }
    const record = this.context.view.shard(grant.shard);
    return record === undefined || record.owner === null || record.epoch !== grant.epoch;
  }

  /** Only a request without a key can be served by another upstream, because each key has one owner. */
  private canRetryElsewhere(attempt: Attempt): boolean {
    const { now } = this.context;
    const { group, upstream } = attempt;
    const canRepeat = group.isRepeatable && group.sentAttempts + 1 < group.terms.maxAttempts;
    if (
      !canRepeat ||
      group.shard !== null ||
      !isOverdue(attempt, now) ||
      group.service.queues.hasMoreImportant(group.rank)
    ) {
      return false;
    }
    return group.service.candidates(now, upstream, group.rank).some((candidate) => candidate !== upstream);
  }
}
