/**
 * Requests that come before a router has its first configuration. They wait for it a short while: a moment after the start of
 * everything there is one, and a caller that is refused by all routers in turn has no try left by then.
 */
import type { RouterContext } from './router-context.js';
import type { RouterTimer } from './router-timer.js';
import type { ArrivedRequest, RequestNumber } from './types.js';

/** Longest wait, in milliseconds, and as a share of what the caller has left. */
const LONGEST_WAIT_MILLIS = 800;
const LONGEST_WAIT_SHARE = 0.5;
/** Requests that wait at once; more are refused. */
const MOST_WAITING = 2000;

interface EarlyRequest {
  readonly request: ArrivedRequest;
  readonly arrivedAt: number;
  readonly timer: RouterTimer;
}

export class EarlyRequests {
  readonly #waiting = new Map<RequestNumber, EarlyRequest>();
  readonly #context: RouterContext;

  constructor(context: RouterContext) {
    this.#context = context;
  }

  /** Lets a request wait; `false` if there is no room or time. */
  hold(request: ArrivedRequest): boolean {
    const { now, config } = this.#context;
    const left = request.deadlineMillis ?? Number.POSITIVE_INFINITY;
    if (config.holdsEarlyRequests !== true || this.#waiting.size >= MOST_WAITING || left <= 0) {
      return false;
    }
    const end = now + Math.min(LONGEST_WAIT_MILLIS, left * LONGEST_WAIT_SHARE);
    const timer = this.#context.schedule(end, { type: 'early-end', request: request.request });
    this.#waiting.set(request.request, { request, arrivedAt: now, timer });
    return true;
  }

  /** Takes a request out, with the time that it has left now; `undefined` if it doesn't wait here. */
  take(number: RequestNumber): ArrivedRequest | undefined {
    const early = this.#waiting.get(number);
    if (early === undefined) {
      return undefined;
    }
    this.#waiting.delete(number);
    this.#context.cancelTimer(early.timer);
    const { request, arrivedAt } = early;
    const waited = this.#context.now - arrivedAt;
    const deadlineMillis = request.deadlineMillis === null ? null : request.deadlineMillis - waited;
    return { ...request, deadlineMillis };
  }

  /** Takes all out, in the order in which they came. */
  takeAll(): ArrivedRequest[] {
    return [...this.#waiting.keys()].flatMap((number) => this.take(number) ?? []);
  }
}
