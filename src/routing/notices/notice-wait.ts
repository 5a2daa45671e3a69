/** Work that must wait because of what upstreams said of themselves, for how long, and what is said if it can't. */
import type { MonotonicMillis } from '../../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { RefusalReason } from '../types.js';
import type { UpstreamState } from '../upstream/upstream-state.js';
import type { Work } from '../work.js';

const MILLIS_PER_SECOND = 1000;

export interface NoticeWait {
  readonly reason: Extract<RefusalReason, 'upstream-limited' | 'upstream-resting'>;
  /** Milliseconds until it may be sent, as far as that is known; 0: at any moment. */
  readonly millis: number;
  /** Milliseconds after which whoever is turned away should come again. */
  readonly againMillis: number;
}

/** `null`: no word of an upstream holds this work back. */
export function noticeWaitOf({ service, shard }: Work, context: RouterContext): NoticeWait | null {
  const { now } = context;
  if (shard !== null) {
    const owner = context.ownerOf(shard);
    return owner === undefined ? null : waitAt(owner.upstream, now);
  }
  let least: NoticeWait | null = null;
  for (const upstream of service.upstreams) {
    if (upstream.evidence.standing(now) === 'leaving') {
      continue;
    }
    const wait = waitAt(upstream, now);
    if (wait === null) {
      return null;
    }
    least = least === null || wait.millis < least.millis ? wait : least;
  }
  return least;
}

/** `null`: one more request may go there, as far as its own words go; or it leaves, and there is nothing to wait for there. */
function waitAt(upstream: UpstreamState, now: MonotonicMillis): NoticeWait | null {
  const { notices } = upstream;
  if (notices === null || notices.isLeaving || notices.admits(now)) {
    return null;
  }
  if (!notices.rest.admits(now)) {
    const millis = notices.rest.waitMillis(now);
    // While one request tries whether the rest is over, the others wait for its answer.
    return { reason: 'upstream-resting', millis, againMillis: Math.max(millis, upstream.serviceMillis) };
  }
  const millis = notices.limit.waitMillis(now);
  // Where control said nothing, the time in which the limit lets one request of any router through.
  const perRequest = MILLIS_PER_SECOND / (notices.limit.perSecond || 1);
  return { reason: 'upstream-limited', millis, againMillis: Math.max(millis, perRequest) };
}
