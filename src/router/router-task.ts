/**
 * Task that owns the router core: callers' requests and attempts on upstreams by their numbers, one input at a time,
 * effects carried out in their order, ticks when they are due.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { toError } from '../errors/ternmount-error.js';
import type { Logger } from '../logging/logger.js';
import type { Incarnation } from '../model/identifiers.js';
import type { PolicyTraceRecord } from '../policy/index.js';
import { NumberedTable } from '../routing/numbered-table.js';
import type {
  AttemptNumber,
  AttemptResult,
  RequestNumber,
  RouterCore,
  RouterEffect,
  RouterInput,
} from '../routing/types.js';
import { Attempt, type DispatchEffect } from './attempts/attempt.js';
import type { UpstreamPools } from './attempts/upstream-pools.js';
import { isTurnedAway, type TurnedAwayError } from './caller/bad-request-error.js';
import type { BodyReader } from './caller/body-reader.js';
import { CallerExchange, writeOwnAnswer } from './caller/caller-exchange.js';
import { fingerprintOf } from './caller/idempotency.js';
import { type CallerRequestHead, readCallerRequest } from './caller/request-head.js';
import { variantOf } from './caller/request-variant.js';
import type { ControlLinks } from './control-links.js';
import type { RouterMetrics } from './metrics.js';
import type { CompleteRouterSettings } from './settings.js';

export interface RouterTaskOptions {
  readonly settings: CompleteRouterSettings;
  readonly incarnation: Incarnation;
  readonly core: RouterCore;
  readonly pools: UpstreamPools;
  readonly bodies: BodyReader;
  readonly links: ControlLinks;
  readonly metrics: RouterMetrics;
  readonly log: Logger;
  /** A policy looked at a request, and someone wants to know. */
  readonly traced: (record: PolicyTraceRecord) => void;
  /** The core threw, so its state can't be trusted any more. */
  readonly failed: (error: Error) => void;
}

/** Shortest wait for a tick, so that a deadline that doesn't move can't keep the process busy. */
const MIN_TICK_MILLIS = 1;
/** Retry-After when the router holds too many bodies. */
const BODIES_HELD_RETRY_MILLIS = 1000;
/** An answer that nobody was given is dropped after this. */
const UNDELIVERED_MILLIS = 30_000;

export class RouterTask {
  private readonly mailbox: RouterInput[] = [];
  private readonly exchanges = new NumberedTable<CallerExchange>();
  private readonly attempts = new NumberedTable<Attempt>();
  /** Attempts delivered during the step under way. */
  private delivered: AttemptNumber[] = [];
  private requestCount = 0;
  private timer: NodeJS.Timeout | undefined;
  private tickDue = Number.POSITIVE_INFINITY;
  private stepping = false;
  private stopped = false;

  constructor(private readonly options: RouterTaskOptions) {}

  /** Requests of callers under way. */
  get openRequests(): number {
    return this.exchanges.size;
  }

  start(): void {
    this.post({ type: 'tick' });
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
    for (const attempt of this.attempts.values()) {
      attempt.cancel();
    }
  }

  /** Takes a caller's request; it gets exactly one answer unless its caller goes away. */
  accept(request: IncomingMessage, response: ServerResponse): void {
    let head: CallerRequestHead;
    try {
      head = readCallerRequest(request);
    } catch (thrown) {
      this.turnAway(response, thrown);
      return;
    }
    this.options.bodies.read(request, (error, body) => {
      if (error !== null) {
        this.turnAway(response, error);
        return;
      }
      this.open(head, body, request, response);
    });
  }

  /** Hands an input to the core; effects of inputs posted before come first. */
  post(input: RouterInput): void {
    if (this.stopped) {
      return;
    }
    this.mailbox.push(input);
    if (!this.stepping) {
      this.drain();
    }
  }

  private open(
    head: CallerRequestHead,
    body: Buffer,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    this.requestCount += 1;
    const number = this.requestCount;
    const exchange = new CallerExchange(number, head, body, request, response);
    this.exchanges.set(number, exchange);
    response.once('close', () => this.closed(exchange));
    const { service, key, method, target, deadlineMillis, idempotency } = head;
    this.post({
      type: 'request',
      request: {
        request: number,
        service,
        key,
        method,
        target,
        deadlineMillis,
        variant: method === 'GET' ? variantOf(request.rawHeaders, body.length) : null,
        idempotency:
          idempotency === null ? null : { ...idempotency, fingerprint: fingerprintOf(method, target, body) },
      },
    });
  }

  private closed(exchange: CallerExchange): void {
    this.exchanges.delete(exchange.number);
    this.options.bodies.release(exchange.body);
    if (!exchange.answered) {
      this.post({ type: 'request-cancelled', request: exchange.number });
    }
  }

  private turnAway(response: ServerResponse, thrown: unknown): void {
    if (!isTurnedAway(thrown)) {
      this.options.log.error('request-failed', { reason: toError(thrown) });
      response.destroy();
      return;
    }
    const { status, reason, message } = thrown as TurnedAwayError;
    const retryAfterMillis = reason === 'queue-full' ? BODIES_HELD_RETRY_MILLIS : null;
    // The rest of the body isn't read, so the connection can't carry another request.
    response.setHeader('connection', 'close');
    writeOwnAnswer(response, { status, outcome: 'not-run', reason, retryAfterMillis, message });
    this.options.metrics.refused('', 'not-run', reason);
  }

  private drain(): void {
    this.stepping = true;
    try {
      for (let input = this.mailbox.shift(); input !== undefined; input = this.mailbox.shift()) {
        this.step(input);
      }
    } catch (thrown) {
      this.stop();
      this.options.failed(toError(thrown));
    } finally {
      this.stepping = false;
    }
    this.schedule();
  }

  private step(input: RouterInput): void {
    for (const effect of this.options.core.step(input, performance.now(), Date.now())) {
      this.carryOut(effect);
    }
    if (this.delivered.length > 0) {
      this.startDelivered();
    }
  }

  /** Lets the answers flow that were delivered during the step. */
  private startDelivered(): void {
    const numbers = this.delivered;
    this.delivered = [];
    for (const number of numbers) {
      this.attempts.get(number)?.flow();
      this.attempts.delete(number);
    }
  }

  /** Moves the timer only when the next tick comes earlier than the one set; a tick too early does no harm. */
  private schedule(): void {
    const due = this.options.core.nextDeadline();
    if (this.stopped || due >= this.tickDue) {
      return;
    }
    clearTimeout(this.timer);
    this.tickDue = due;
    const wait = Math.max(MIN_TICK_MILLIS, Math.ceil(due - performance.now()));
    this.timer = setTimeout(() => this.tick(), wait);
  }

  private tick(): void {
    this.tickDue = Number.POSITIVE_INFINITY;
    this.post({ type: 'tick' });
  }

  private carryOut(effect: RouterEffect): void {
    switch (effect.type) {
      case 'send-control':
        this.options.links.send(effect.to, effect.message);
        return;
      case 'dispatch':
        this.dispatch(effect);
        return;
      case 'cancel-attempt':
        this.attempts.get(effect.attempt)?.cancel();
        return;
      case 'deliver':
        this.deliver(effect.request, effect.attempt);
        return;
      case 'deliver-stored':
        this.answer(effect.request, (exchange) => {
          exchange.answerStored(effect.answer);
          this.options.metrics.answered(exchange.head.service, secondsOf(exchange), 'stored');
        });
        return;
      case 'refuse':
        this.answer(effect.request, (exchange) => {
          exchange.answerOwn(effect);
          this.options.metrics.refused(exchange.head.service, effect.outcome, effect.reason);
        });
        return;
      case 'policy-trace':
        this.options.traced(effect.record);
        return;
      case 'log':
        this.options.log.log(effect.level, effect.event, effect.fields);
        return;
    }
  }

  private answer(request: RequestNumber, give: (exchange: CallerExchange) => void): void {
    const exchange = this.exchanges.get(request);
    if (exchange === undefined || exchange.answered) {
      return;
    }
    try {
      give(exchange);
    } catch (thrown) {
      // Headers of an upstream that can't be written: a broken connection is never taken for an answer.
      this.options.log.error('answer-failed', { request, reason: toError(thrown) });
      exchange.breakOff();
    }
  }

  private dispatch(effect: DispatchEffect): void {
    const exchange = this.exchanges.get(effect.request);
    if (exchange === undefined) {
      this.post({ type: 'attempt-ended', attempt: effect.attempt, result: { type: 'connect-failed' } });
      return;
    }
    const { settings, incarnation, pools } = this.options;
    const attempt = new Attempt({
      effect,
      exchange,
      requestId: `${incarnation}.${effect.attempt}`,
      storedAnswerBytes: exchange.head.idempotency === null ? null : settings.limits.storedAnswerBytes,
      streamStallMillis: settings.timings.streamStallMillis,
      ended: (number, result) => this.attemptEnded(number, result),
    });
    this.attempts.set(effect.attempt, attempt);
    attempt.start(pools.of(effect.address));
  }

  private attemptEnded(number: AttemptNumber, result: AttemptResult): void {
    this.options.metrics.attemptEnded(result.type);
    if (result.type !== 'answered') {
      this.attempts.delete(number);
    }
    this.post({ type: 'attempt-ended', attempt: number, result });
    if (this.attempts.has(number)) {
      setTimeout(() => this.dropAttempt(number), UNDELIVERED_MILLIS).unref();
    }
  }

  private dropAttempt(number: AttemptNumber): void {
    this.attempts.get(number)?.cancel();
    this.attempts.delete(number);
  }

  private deliver(request: RequestNumber, number: AttemptNumber): void {
    const attempt = this.attempts.get(number);
    this.answer(request, (exchange) => {
      if (attempt === undefined) {
        this.options.log.error('answer-missing', { request, attempt: number });
        exchange.answerOwn({
          status: 502,
          outcome: 'unknown',
          reason: 'upstream-failed',
          retryAfterMillis: null,
        });
        return;
      }
      this.delivered.push(number);
      attempt.deliver(exchange);
      this.options.metrics.answered(exchange.head.service, secondsOf(exchange), 'upstream');
    });
  }
}

function secondsOf(exchange: CallerExchange): number {
  return (performance.now() - exchange.arrivedAt) / 1000;
}
