/**
 * Requests that crash each upstream that processes them: three runs are lost before such a request can be detected. A few
 * seconds later, routers that are connected to control forward it at most a few more times.
 */
import type { HistoryEvent, SendId } from './history.js';
import { NO_VIOLATIONS, type Rule, type Violation } from './rule.js';

/** Number of runs that a request ends before it must be detected. */
const CRASHES_UNTIL_DETECTED = 3;
/** Time within which connected routers learn of a detected request. */
const PROPAGATION_MILLIS = 3000;
/** Allowed arrivals at upstreams after that time. */
const MAX_LATE_ARRIVALS = 3;

/** The state of one request over all its sendings. */
interface RequestFacts {
  crashes: number;
  /** Time of the crash by which it must be detected; `null` before. */
  detectedAt: number | null;
  lateArrivals: number;
}

export class CrashRule implements Rule {
  readonly #contents = new Map<SendId, string>();
  readonly #facts = new Map<string, RequestFacts>();

  check(event: HistoryEvent): readonly Violation[] {
    switch (event.type) {
      case 'request-sent':
        this.#contents.set(event.send, event.content);
        return NO_VIOLATIONS;
      case 'upstream-crashed':
        this.#recordCrash(event.send, event.at);
        return NO_VIOLATIONS;
      case 'request-reached':
        return event.isInTouch ? this.#checkArrival(event.send, event.upstream, event.at) : NO_VIOLATIONS;
      default:
        return NO_VIOLATIONS;
    }
  }

  finish(): readonly Violation[] {
    return NO_VIOLATIONS;
  }

  #recordCrash(send: SendId, at: number): void {
    const content = this.#contents.get(send) ?? send;
    const facts = this.#facts.get(content) ?? { crashes: 0, detectedAt: null, lateArrivals: 0 };
    this.#facts.set(content, facts);
    facts.crashes += 1;
    if (facts.crashes === CRASHES_UNTIL_DETECTED) {
      facts.detectedAt = at;
    }
  }

  #checkArrival(send: SendId, upstream: string, at: number): readonly Violation[] {
    const content = this.#contents.get(send) ?? send;
    const facts = this.#facts.get(content);
    if (facts === undefined || facts.detectedAt === null || at <= facts.detectedAt + PROPAGATION_MILLIS) {
      return NO_VIOLATIONS;
    }
    facts.lateArrivals += 1;
    if (facts.lateArrivals <= MAX_LATE_ARRIVALS) {
      return NO_VIOLATIONS;
    }
    const message = `${content}, which had ended ${facts.crashes} runs, reached ${upstream} for the ${facts.lateArrivals}th time since it was detected`;
    return [{ promise: 'crashes-bounded', at, message }];
  }
}
