/** Starts attempts: updates all counters that include them, and emits the effect that sends them. */
import type { FenceCredentials } from '../lease/types.js';
import { type Attempt, measurementNameOf, type RequestGroup, type SentGrant } from './request-group.js';
import type { RouterContext } from './router-context.js';
import type { UpstreamState } from './upstream/upstream-state.js';
import { runNameOf } from './watched-runs.js';

/** Numbers and starts the attempts of one router core. */
export class AttemptStarter {
  constructor(private readonly context: RouterContext) {}

  /**
   * Starts an attempt. `grant`: the owner's grant; `null` for services that aren't keyed. `credentials`: what the owner's
   * fence checks; `null` if it has no fence.
   */
  start(
    group: RequestGroup,
    upstream: UpstreamState,
    grant: SentGrant | null,
    credentials: FenceCredentials | null,
  ): void {
    const { context } = this;
    const { service } = group;
    const attempt: Attempt = {
      number: context.latestAttempt + 1,
      group: group,
      upstream,
      request: group.request,
      startedAt: context.now,
      run: runNameOf(upstream),
      via: context.paths.pathFor(upstream),
      foundFreeSlot: upstream.hasFreeSlot(context.now),
      grant,
      grantEndedAt: null,
      abandoned: false,
    };
    context.latestAttempt = attempt.number;
    group.shardQueue?.drainRateOf(group.rank).recordDequeue(context.now);
    service.queues.remove(group);
    if (group.attempts === 0) {
      service.retryBudget.firstAttempt();
      service.rankRoom.shares.onStart(group.terms.priority, context.now);
      if (!service.definition.keyed) {
        context.fleetSums.recordDemand(service.name, measurementNameOf(group));
      }
    }
    group.attempts += 1;
    group.tally.sent += 1;
    group.attempt = attempt;
    group.phase = 'in-flight';
    service.inFlight += 1;
    upstream.dispatched();
    upstream.notices?.sent(attempt.number, context.now);
    context.attempts.set(attempt.number, attempt);
    context.emit({
      type: 'dispatch',
      request: group.request.request,
      attempt: attempt.number,
      upstream: upstream.id,
      address: upstream.record.definition.address,
      credentials,
      instance: upstream.record.definition.announced === undefined ? null : upstream.id,
      deadlineMillis: group.deadline - context.now,
      revision: context.view.revision,
      fence: grant?.epoch ?? null,
      heardAgoMillis: upstream.heardAt === null ? null : context.now - upstream.heardAt,
      wholeAnswerBytes: service.definition.wholeAnswerBytes,
      via: attempt.via,
    });
  }
}
