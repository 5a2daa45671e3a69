/**
 * Upstreams with a limit: some time after its first notice, they receive in any window little more than the limit from
 * the routers that received it. A router that was disturbed recently is excused.
 */
import type { ConstrainedUpstreamReached, HistoryEvent, NoticeReceived } from './history.js';
import { NO_VIOLATIONS, type Rule, type Violation } from './rule.js';

const WINDOW_MILLIS = 4000;
/** Requests allowed in a window in addition to the limit times the factor. */
const MARGIN_REQUESTS = 5;
const OVERRUN_FACTOR = 1.5;
/** Time for routers to divide a newly stated limit among them. */
const SHARING_MILLIS = 3000;
/** Time after the arrival of an answer at which its router must apply the limit. */
const APPLY_MILLIS = 500;
const MILLIS_PER_SECOND = 1000;

interface Arrival {
  readonly at: number;
  readonly limitPerSecond: number;
}

interface LimitedRun {
  /** Time of the first answer with a limit since the upstream last had none. */
  firstStatedAt: number | null;
  readonly receivedAt: Map<string, number>;
  arrivals: Arrival[];
}

export class LimitRule implements Rule {
  readonly #runs = new Map<string, LimitedRun>();

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

  #recordNotice({ at, router, upstream, limitPerSecond }: NoticeReceived): void {
    const run = this.#runOf(upstream);
    if (limitPerSecond !== null) {
      run.firstStatedAt ??= at;
      run.receivedAt.set(router, run.receivedAt.get(router) ?? at);
    }
  }

  #checkArrival(event: ConstrainedUpstreamReached): readonly Violation[] {
    const { at, router, upstream, limitPerSecond, isExcused } = event;
    const run = this.#runOf(upstream);
    if (limitPerSecond === null) {
      run.firstStatedAt = null;
      run.receivedAt.clear();
      run.arrivals = [];
      return NO_VIOLATIONS;
    }
    const receivedAt = run.receivedAt.get(router) ?? Number.POSITIVE_INFINITY;
    const isShared = run.firstStatedAt !== null && at >= run.firstStatedAt + SHARING_MILLIS;
    if (isExcused || !isShared || at < receivedAt + APPLY_MILLIS) {
      return NO_VIOLATIONS;
    }
    run.arrivals = [...run.arrivals, { at, limitPerSecond }].filter(
      (arrival) => arrival.at > at - WINDOW_MILLIS,
    );
    const largest = Math.max(...run.arrivals.map((arrival) => arrival.limitPerSecond));
    const maxArrivals = (OVERRUN_FACTOR * largest * WINDOW_MILLIS) / MILLIS_PER_SECOND + MARGIN_REQUESTS;
    if (run.arrivals.length <= maxArrivals) {
      return NO_VIOLATIONS;
    }
    const message = `${upstream}, with a limit of ${largest} requests per second, received ${run.arrivals.length} in ${WINDOW_MILLIS} ms; ${maxArrivals} are allowed`;
    return [{ promise: 'needs-heeded', at, message }];
  }

  #runOf(upstream: string): LimitedRun {
    const run = this.#runs.get(upstream) ?? {
      firstStatedAt: null,
      receivedAt: new Map<string, number>(),
      arrivals: [],
    };
    this.#runs.set(upstream, run);
    return run;
  }
}
