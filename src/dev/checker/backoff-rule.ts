/**
 * Upstreams that reject a router's request with a back-off: shortly after that, and until the back-off ends, the router
 * sends hardly any requests there. A router that was disturbed recently is excused.
 */
import type { ConstrainedUpstreamReached, HistoryEvent, NoticeReceived } from './history.js';
import { NO_VIOLATIONS, type Rule, type Violation } from './rule.js';

/** Time during which requests in transit may still arrive. */
const GRACE_MILLIS = 500;
const MAX_REQUESTS_IN_BACKOFF = 2;

interface Backoff {
  readonly from: number;
  readonly until: number;
  arrivals: number;
}

export class BackoffRule implements Rule {
  /** By router and run of the upstream. */
  readonly #backoffs = new Map<string, Backoff[]>();

  check(event: HistoryEvent): readonly Violation[] {
    switch (event.type) {
      case 'notice-given':
        this.#recordNotice(event);
        return NO_VIOLATIONS;
      case 'needy-upstream-reached':
        return this.#checkArrival(event);
      default:
        return NO_VIOLATIONS;
    }
  }

  finish(): readonly Violation[] {
    return NO_VIOLATIONS;
  }

  #recordNotice({ at, answeredAt, router, upstream, restMillis }: NoticeReceived): void {
    if (restMillis === null) {
      return;
    }
    const name = nameOf(router, upstream);
    const open = (this.#backoffs.get(name) ?? []).filter(({ until }) => until > at);
    // The back-off begins when the upstream answers.
    const backoff = { from: at + GRACE_MILLIS, until: answeredAt + restMillis, arrivals: 0 };
    this.#backoffs.set(name, [...open, backoff]);
  }

  #checkArrival({ at, router, upstream, isExcused }: ConstrainedUpstreamReached): readonly Violation[] {
    if (isExcused) {
      return NO_VIOLATIONS;
    }
    for (const backoff of this.#backoffs.get(nameOf(router, upstream)) ?? []) {
      backoff.arrivals += at >= backoff.from && at < backoff.until ? 1 : 0;
      if (backoff.arrivals > MAX_REQUESTS_IN_BACKOFF) {
        const message = `${router} sent ${upstream} ${backoff.arrivals} requests during its back-off`;
        return [{ promise: 'needs-heeded', at, message }];
      }
    }
    return NO_VIOLATIONS;
  }
}

function nameOf(router: string, upstream: string): string {
  return `${router} ${upstream}`;
}
