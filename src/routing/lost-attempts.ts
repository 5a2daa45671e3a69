/**
 * Attempts that are given up before their shell reports an end: those under grants that are over, which no answer can
 * come from any more, and reads that take far longer than usual while another upstream could serve them.
 */
import type { AttemptResults } from './attempt-results.js';
import type { RouterContext } from './router-context.js';
import { type Attempt, isOverdue } from './work.js';

/** Longest time for an answer to come after the grant of its attempt was over. */
const ANSWER_GRACE_MILLIS = 50;
/** How often attempts in flight are looked at. */
const SWEEP_MILLIS = 100;

export class LostAttempts {
  private sweepScheduled = false;

  constructor(
    private readonly context: RouterContext,
    private readonly results: AttemptResults,
  ) {}

  /**
   * Owners changed: attempts under grants that are over have little time left for their answers. A grant is over only
   * when its holder finished its work or lost its lease, so what isn't on its way by now never comes.
   */
  noteGrantsOver(): void {
    const { context } = this;
    let found = false;
    for (const attempt of context.attempts.values()) {
      if (attempt.overSince === null && this.isGrantOver(attempt)) {
        attempt.overSince = context.now;
        found = true;
      }
    }
    if (found) {
      context.schedule(context.now + ANSWER_GRACE_MILLIS, { type: 'grants-over' });
    }
  }

  /** Gives up attempts whose grants were over for a while. */
  abandonUnderOverGrants(): void {
    const { now } = this.context;
    for (const attempt of this.current()) {
      if (attempt.overSince !== null && now >= attempt.overSince + ANSWER_GRACE_MILLIS) {
        this.results.abandon(attempt);
      }
    }
  }

  /** Looks for overdue reads from time to time as long as anything is in flight. */
  scheduleSweep(): void {
    const { context } = this;
    if (!this.sweepScheduled && context.attempts.size > 0) {
      this.sweepScheduled = true;
      context.schedule(context.now + SWEEP_MILLIS, { type: 'overdue-sweep' });
    }
  }

  /** Gives up reads that are overdue, as far as the retry budgets go. */
  sweep(): void {
    this.sweepScheduled = false;
    for (const attempt of this.current()) {
      if (this.mayMoveOn(attempt) && attempt.work.service.retryBudget.tryRetry()) {
        this.results.moveOn(attempt);
      }
    }
    this.scheduleSweep();
  }

  private current(): Attempt[] {
    return [...this.context.attempts.values()].filter(
      (attempt) => !attempt.abandoned && attempt.work.attempt === attempt && attempt.work.phase !== 'done',
    );
  }

  private isGrantOver({ grant }: Attempt): boolean {
    if (grant === null || !grant.endsAttempts) {
      return false;
    }
    const record = this.context.view.shard(grant.shard);
    return record === undefined || record.owner === null || record.epoch !== grant.epoch;
  }

  /** A key has one owner, so only a request that isn't keyed gains by going elsewhere. */
  private mayMoveOn(attempt: Attempt): boolean {
    const { now } = this.context;
    const { work, upstream } = attempt;
    const mayRepeat = work.isRepeatable && work.sentAttempts + 1 < work.terms.maxAttempts;
    if (
      !mayRepeat ||
      work.shard !== null ||
      !isOverdue(attempt, now) ||
      work.service.lanes.hasAbove(work.rank)
    ) {
      return false;
    }
    return work.service.candidates(now, upstream, work.rank).some((candidate) => candidate !== upstream);
  }
}
