/** How long a request group has to wait because of upstream notices, and the reason given if it can't wait. */
import type { MonotonicMillis } from '../../model/identifiers.js';
import type { RequestGroup } from '../request-group.js';
import type { RouterContext } from '../router-context.js';
import type { RefusalReason } from '../types.js';
import type { UpstreamState } from '../upstream/upstream-state.js';

const MILLIS_PER_SECOND = 1000;

export interface NoticeWait {
  readonly reason: Extract<RefusalReason, 'upstream-limited' | 'upstream-resting'>;
  /** Milliseconds until the group may be sent, as far as known; 0 if that may be at any moment. */
  readonly millis: number;
  /** Milliseconds after which a rejected caller should retry. */
  readonly retryAfterMillis: number;
}

/** Returns `null` if no upstream notice delays this group. */
export function noticeWaitOf({ service, shard }: RequestGroup, context: RouterContext): NoticeWait | null {
  const { now } = context;
  if (shard !== null) {
    const owner = context.ownerOf(shard);
    return owner === undefined ? null : waitAt(owner.upstream, now);
  }
  let shortest: NoticeWait | null = null;
  for (const upstream of service.upstreams) {
    if (upstream.evidence.standing(now) === 'leaving') {
      continue;
    }
    const wait = waitAt(upstream, now);
    if (wait === null) {
      return null;
    }
    shortest = shortest === null || wait.millis < shortest.millis ? wait : shortest;
  }
  return shortest;
}

/** Returns `null` if the upstream's notices admit one more request, or if it is draining, since waiting doesn't help then. */
function waitAt(upstream: UpstreamState, now: MonotonicMillis): NoticeWait | null {
  const { notices } = upstream;
  if (notices === null || notices.isLeaving || notices.admits(now)) {
    return null;
  }
  if (!notices.backoff.admits(now)) {
    const millis = notices.backoff.waitMillis(now);
    // While one request tests whether the back-off is over, the others wait for its answer.
    return { reason: 'upstream-resting', millis, retryAfterMillis: Math.max(millis, upstream.serviceMillis) };
  }
  const millis = notices.limit.waitMillis(now);
  // If control has reported no wait: the time in which the limit admits one request over all routers.
  const perRequest = MILLIS_PER_SECOND / (notices.limit.perSecond || 1);
  return { reason: 'upstream-limited', millis, retryAfterMillis: Math.max(millis, perRequest) };
}
