/**
 * Holds requests that arrive before a router's first configuration. They wait for it for a short time: when a whole system starts, the
 * configuration arrives moments later, by which time a caller refused by each router in turn would have no attempts left.
 */
import type { RouterContext } from './router-context.js';
import type { RouterTimer } from './router-timer.js';
import type { ArrivedRequest, RequestNumber } from './types.js';

/** Maximum wait, in milliseconds and as a share of the caller's remaining time. */
const MAX_WAIT_MILLIS = 800;
const MAX_WAIT_SHARE = 0.5;
/** Maximum number of waiting requests; more are refused. */
const MAX_WAITING = 2000;

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

  /** Holds a request; returns `false` if there is no capacity or no time to wait. */
  hold(request: ArrivedRequest): boolean {
    const { now, config } = this.#context;
    const remainingMillis = request.deadlineMillis ?? Number.POSITIVE_INFINITY;
    if (config.holdsEarlyRequests !== true || this.#waiting.size >= MAX_WAITING || remainingMillis <= 0) {
      return false;
    }
    const end = now + Math.min(MAX_WAIT_MILLIS, remainingMillis * MAX_WAIT_SHARE);
    const timer = this.#context.schedule(end, { type: 'early-end', request: request.request });
    this.#waiting.set(request.request, { request, arrivedAt: now, timer });
    return true;
  }

  /** Removes and returns a request with its remaining deadline; `undefined` if it isn't held. */
  dequeue(number: RequestNumber): ArrivedRequest | undefined {
    const early = this.#waiting.get(number);
    if (early === undefined) {
      return undefined;
    }
    this.#waiting.delete(number);
    this.#context.cancelTimer(early.timer);
    const { request, arrivedAt } = early;
    const waitedMillis = this.#context.now - arrivedAt;
    const deadlineMillis = request.deadlineMillis === null ? null : request.deadlineMillis - waitedMillis;
    return { ...request, deadlineMillis };
  }

  /** Removes and returns all requests in order of arrival. */
  dequeueAll(): ArrivedRequest[] {
    return [...this.#waiting.keys()].flatMap((number) => this.dequeue(number) ?? []);
  }
}
