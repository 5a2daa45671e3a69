/** Starts attempts: counts them wherever they count, and has them sent. */
import type { FenceCredentials } from '../lease/types.js';
import type { RouterContext } from './router-context.js';
import type { UpstreamState } from './upstream/upstream-state.js';
import { runNameOf } from './watched-runs.js';
import type { Attempt, SentGrant, Work } from './work.js';

/** Numbers the attempts of one router core. */
export class AttemptStarter {
  constructor(private readonly context: RouterContext) {}

  /**
   * `grant`: what the owner holds; `null` for services that aren't keyed. `credentials`: what its fence checks; `null`
   * without one.
   */
  start(
    work: Work,
    upstream: UpstreamState,
    grant: SentGrant | null,
    credentials: FenceCredentials | null,
  ): void {
    const { context } = this;
    const { service } = work;
    const attempt: Attempt = {
      number: context.latestAttempt + 1,
      work,
      upstream,
      request: work.request,
      startedAt: context.now,
      run: runNameOf(upstream),
      foundFreeSlot: upstream.hasFreeSlot(context.now),
      grant,
      overSince: null,
      abandoned: false,
    };
    context.latestAttempt = attempt.number;
    work.lane?.drainRateOf(work.rank).took(context.now);
    service.lanes.remove(work);
    if (work.attempts === 0) {
      service.retryBudget.firstAttempt();
      service.rankRoom.shares.started(work.terms.priority, context.now);
    }
    work.attempts += 1;
    work.tally.sent += 1;
    work.attempt = attempt;
    work.phase = 'in-flight';
    service.inFlight += 1;
    upstream.dispatched();
    upstream.notices?.sent(attempt.number, context.now);
    context.attempts.set(attempt.number, attempt);
    context.emit({
      type: 'dispatch',
      request: work.request.request,
      attempt: attempt.number,
      upstream: upstream.id,
      address: upstream.record.definition.address,
      credentials,
      instance: upstream.record.definition.announced === undefined ? null : upstream.id,
      deadlineMillis: work.deadline - context.now,
      revision: context.view.revision,
      fence: grant?.epoch ?? null,
      wholeAnswerBytes: service.definition.wholeAnswerBytes,
    });
  }
}
