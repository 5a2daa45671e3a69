/**
 * Requests that end the run of each upstream that begins to work on them: three runs are lost before anybody can know.
 * Those who are in touch know it a few seconds later and send such a request on a few times more at most.
 */
import type { HistoryEvent, SendId } from './history.js';
import { NO_VIOLATIONS, type Rule, type Violation } from './rule.js';

/** Runs that a request may end before it must be known. */
const CRASHES_UNTIL_KNOWN = 3;
/** Time for those in touch to learn of it. */
const LEARNING_MILLIS = 3000;
/** Arrivals at upstreams that are allowed after that. */
const MOST_LATE_ARRIVALS = 3;

/** What is known of one request, however often it was sent. */
interface RequestFacts {
  crashes: number;
  /** When it ended the run that made it known; `null`: it isn't. */
  knownAt: number | null;
  lateArrivals: number;
}

export class CrashRule implements Rule {
  readonly #contents = new Map<SendId, string>();
  readonly #facts = new Map<string, RequestFacts>();

  take(event: HistoryEvent): readonly Violation[] {
    switch (event.type) {
      case 'request-sent':
        this.#contents.set(event.send, event.content);
        return NO_VIOLATIONS;
      case 'upstream-crashed':
        this.#noteCrash(event.send, event.at);
        return NO_VIOLATIONS;
      case 'request-reached':
        return event.isInTouch ? this.#judgeArrival(event.send, event.upstream, event.at) : NO_VIOLATIONS;
      default:
        return NO_VIOLATIONS;
    }
  }

  finish(): readonly Violation[] {
    return NO_VIOLATIONS;
  }

  #noteCrash(send: SendId, at: number): void {
    const content = this.#contents.get(send) ?? send;
    const facts = this.#facts.get(content) ?? { crashes: 0, knownAt: null, lateArrivals: 0 };
    this.#facts.set(content, facts);
    facts.crashes += 1;
    if (facts.crashes === CRASHES_UNTIL_KNOWN) {
      facts.knownAt = at;
    }
  }

  #judgeArrival(send: SendId, upstream: string, at: number): readonly Violation[] {
    const content = this.#contents.get(send) ?? send;
    const facts = this.#facts.get(content);
    if (facts === undefined || facts.knownAt === null || at <= facts.knownAt + LEARNING_MILLIS) {
      return NO_VIOLATIONS;
    }
    facts.lateArrivals += 1;
    if (facts.lateArrivals <= MOST_LATE_ARRIVALS) {
      return NO_VIOLATIONS;
    }
    const message = `${content}, which had ended ${facts.crashes} runs, reached ${upstream}, the ${facts.lateArrivals}th time since it was known`;
    return [{ promise: 'crashes-bounded', at, message }];
  }
}
