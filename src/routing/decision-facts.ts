/** What a decision about a work relied on, for the log. */

import { WaitEstimate } from './queue/wait-estimate.js';
import { isOfHotKey } from './room/hot-keys.js';
import type { RouterContext } from './router-context.js';
import type { DecisionFacts, OrderFacts } from './types.js';
import type { Work } from './work.js';

export function factsOf(work: Work, context: RouterContext): DecisionFacts {
  const { view, lease, now } = context;
  const { service, shard } = work;
  const owner = shard === null ? undefined : context.ownerOf(shard);
  const { confirmedAt } = lease;
  const limit = owner?.upstream.notices?.limit;
  const restMillis = Math.round(owner?.upstream.notices?.rest.waitMillis(now) ?? 0);
  const isByRank = service.presence.isMixed(now) || isOfHotKey(work.rank);
  const suspect = context.crashes.suspectOf(work.request);
  return {
    route: work.terms.route,
    service: service.name,
    version: view.declaration?.version ?? 0,
    revision: view.revision,
    confirmedAgoMillis: confirmedAt === null ? null : Math.round(now - confirmedAt),
    owner: owner?.upstream.id ?? null,
    fence: owner?.epoch ?? null,
    waiting: service.waitingLength,
    waitMillis: Math.round(new WaitEstimate(context).untilDispatch(work)),
    usable: service.upstreams.filter(({ evidence }) => evidence.standing(now) === 'usable').length,
    ...(isByRank && { order: orderFactsOf(work, now) }),
    ...(restMillis > 0 && { restMillis }),
    ...(limit?.isInForce && { limit: { ...limit.heard(now), permits: limit.permitsLeft(now) } }),
    ...(context.link !== null && { link: context.link.status() }),
    ...(work.returnWord !== null && { returns: work.returnWord }),
    ...(suspect !== null && context.crashes.isQuarantined(suspect) && { fingerprint: suspect }),
  };
}

function orderFactsOf({ service, shard, rank, lane }: Work, now: number): OrderFacts {
  const waiting = service.lanes.find(shard)?.queue.countAhead(rank) ?? 0;
  // It doesn't go before itself.
  const ahead = lane === null ? waiting : Math.max(0, waiting - 1);
  return { rank, ahead, ...service.rankRoom.known(now) };
}
