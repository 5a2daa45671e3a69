/** Builds the variables of a policy program from the router's state. */
import type { PolicyContext, PolicyUpstream } from '../policy/index.js';
import type { RequestGroup } from './request-group.js';
import type { RouterContext } from './router-context.js';
import type { UpstreamState } from './upstream/upstream-state.js';

/** Variables of the first request of a group. */
export function policyContextOf(group: RequestGroup, context: RouterContext): PolicyContext {
  const { service, request } = group;
  const { definition } = service;
  return {
    request: {
      class: definition.priority,
      method: request.method,
      key: request.key ?? '',
      service: definition.name,
      attempt: group.attempts + 1,
    },
    queue: { length: service.waitingLength, limit: definition.queueLimit },
    load: service.inFlight / Math.max(1, service.totalSlots(context.now)),
    zone: context.config.zone,
    deadline: { remainingMillis: group.deadline - context.now },
  };
}

/** Variables of one upstream. */
export function policyUpstreamOf(upstream: UpstreamState, now: number): PolicyUpstream {
  return {
    id: upstream.id,
    zone: upstream.zone,
    inFlight: upstream.inFlight,
    slots: upstream.slotLimit.slots,
    load: upstream.load(now),
    serviceMillis: upstream.serviceMillis,
  };
}
