/**
 * Upstreams that report draining in an answer: requests that callers send some time later don't reach that run through
 * the router that received the answer, whether or not the router is connected to control. A restart or a freeze of the
 * router since then excuses it.
 */
import type { ConstrainedUpstreamReached, HistoryEvent, SendId } from './history.js';
import { NO_VIOLATIONS, type Rule, type Violation } from './rule.js';

const DRAIN_MILLIS = 2000;

export class DrainNoticeRule implements Rule {
  readonly #sentAt = new Map<SendId, number>();
  /** By router and run of the upstream. */
  readonly #reportedAt = new Map<string, number>();

  check(event: HistoryEvent): readonly Violation[] {
    switch (event.type) {
      case 'request-sent':
        this.#sentAt.set(event.send, event.at);
        return NO_VIOLATIONS;
      case 'notice-given': {
        const name = nameOf(event.router, event.upstream);
        if (event.isLeaving && !this.#reportedAt.has(name)) {
          this.#reportedAt.set(name, event.at);
        }
        return NO_VIOLATIONS;
      }
      case 'needy-upstream-reached':
        return this.#checkArrival(event);
      default:
        return NO_VIOLATIONS;
    }
  }

  finish(): readonly Violation[] {
    return NO_VIOLATIONS;
  }

  #checkArrival({
    at,
    router,
    upstream,
    send,
    runningSince,
  }: ConstrainedUpstreamReached): readonly Violation[] {
    const reportedAt = this.#reportedAt.get(nameOf(router, upstream));
    const sentAt = this.#sentAt.get(send) ?? at;
    if (reportedAt === undefined || runningSince >= reportedAt || sentAt <= reportedAt + DRAIN_MILLIS) {
      return NO_VIOLATIONS;
    }
    const message = `${router} sent ${upstream} ${send} ${Math.round(sentAt - reportedAt)} ms after it reported draining`;
    return [{ promise: 'leaving-gets-no-work', at, message }];
  }
}

function nameOf(router: string, upstream: string): string {
  return `${router} ${upstream}`;
}
