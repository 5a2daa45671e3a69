/** The facts behind a decision about a request group, for the log. */

import { isHotKeyRank } from './capacity/hot-keys.js';
import { WaitEstimate } from './queue/wait-estimate.js';
import type { RequestGroup } from './request-group.js';
import type { RouterContext } from './router-context.js';
import type { DecisionFacts, OrderFacts } from './types.js';

export function factsOf(group: RequestGroup, context: RouterContext): DecisionFacts {
  const { view, lease, now } = context;
  const { service, shard } = group;
  const owner = shard === null ? undefined : context.ownerOf(shard);
  const { confirmedAt } = lease;
  const limit = owner?.upstream.notices?.limit;
  const restMillis = Math.round(owner?.upstream.notices?.backoff.waitMillis(now) ?? 0);
  const isByRank = service.presence.isMixed(now) || isHotKeyRank(group.rank);
  const suspect = context.crashes.suspectOf(group.request);
  return {
    route: group.terms.route,
    service: service.name,
    version: view.declaration?.version ?? 0,
    revision: view.revision,
    confirmedAgoMillis: confirmedAt === null ? null : Math.round(now - confirmedAt),
    owner: owner?.upstream.id ?? null,
    fence: owner?.epoch ?? null,
    waiting: service.waitingLength,
    waitMillis: Math.round(new WaitEstimate(context).untilDispatch(group)),
    usable: service.upstreams.filter(({ evidence }) => evidence.standing(now) === 'usable').length,
    ...(isByRank && { order: orderFactsOf(group, now) }),
    ...(restMillis > 0 && { restMillis }),
    ...(limit?.isInForce && { limit: { ...limit.lastReport(now), permits: limit.permitsLeft(now) } }),
    ...(context.link !== null && { link: context.link.status() }),
    ...(group.returnOffer !== null && { returns: group.returnOffer }),
    ...(suspect !== null && context.crashes.isQuarantined(suspect) && { fingerprint: suspect }),
  };
}

function orderFactsOf({ service, shard, rank, shardQueue: lane }: RequestGroup, now: number): OrderFacts {
  const waiting = service.queues.find(shard)?.queue.countAhead(rank) ?? 0;
  // A queued group is not ahead of itself.
  const ahead = lane === null ? waiting : Math.max(0, waiting - 1);
  return { rank, ahead, ...service.rankRoom.loadFacts(now) };
}
