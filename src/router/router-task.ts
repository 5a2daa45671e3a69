/** Task that owns the router core: one input at a time, effects carried out in their order, ticks when they are due. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { toError } from '../errors/ternmount-error.js';
import type { Logger } from '../logging/logger.js';
import type { CallerLimits } from '../model/declaration.js';
import type { Incarnation, MonotonicMillis, WallMillis } from '../model/identifiers.js';
import type { PolicyTraceRecord } from '../policy/index.js';
import { NumberedTable } from '../routing/numbered-table.js';
import type {
  AttemptNumber,
  RequestNumber,
  RouterCore,
  RouterEffect,
  RouterInput,
} from '../routing/types.js';
import type { DispatchEffect } from './attempts/attempt.js';
import { checkRun } from './attempts/run-check.js';
import { UpstreamAttempts } from './attempts/upstream-attempts.js';
import type { UpstreamPools } from './attempts/upstream-pools.js';
import type { BodyReader } from './caller/body-reader.js';
import type { CallerExchange, OwnAnswer } from './caller/caller-exchange.js';
import { CallerExchanges, type ConnectionsUsage } from './caller/caller-exchanges.js';
import { HeldBytes } from './caller/held-bytes.js';
import type { ControlLinks } from './control-links.js';
import type { RouterMetrics } from './metrics.js';
import { RequestTrail } from './request-trail.js';
import type { CompleteRouterSettings } from './settings.js';
import { SuspensionLooks } from './suspension-looks.js';

export interface RouterTaskOptions {
  readonly settings: CompleteRouterSettings;
  readonly incarnation: Incarnation;
  readonly core: RouterCore;
  readonly pools: UpstreamPools;
  readonly bodies: BodyReader;
  readonly links: ControlLinks;
  readonly metrics: RouterMetrics;
  readonly log: Logger;
  /** Other bounds hold for callers from now on. */
  readonly limitsChanged: (limits: CallerLimits) => void;
  /** A policy looked at a request, and someone wants to know. */
  readonly traced: (record: PolicyTraceRecord) => void;
  /** The core threw, so its state can't be trusted any more. */
  readonly failed: (error: Error) => void;
}

/** Shortest wait for a tick, so that a deadline that doesn't move can't keep the process busy. */
const MIN_TICK_MILLIS = 1;
/** Smaller answers say nothing of the link: it carries them sooner than their upstream writes them. */
const LEAST_CARRIED_BYTES = 16_384;
/** Given in place of an answer that isn't there although it was reported. */
const ANSWER_MISSING: OwnAnswer = {
  status: 502,
  outcome: 'unknown',
  reason: 'upstream-failed',
  retryAfterMillis: null,
};

export class RouterTask {
  private readonly mailbox: RouterInput[] = [];
  private readonly callers: CallerExchanges;
  private readonly attempts: UpstreamAttempts;
  private readonly trails = new NumberedTable<RequestTrail>();
  /** Whose request an attempt was made for, until it ends. */
  private readonly attemptOwners = new NumberedTable<RequestNumber>();
  private readonly suspensions = new SuspensionLooks();
  private timer: NodeJS.Timeout | undefined;
  private tickDue = Number.POSITIVE_INFINITY;
  private stepping = false;
  private stopped = false;

  constructor(private readonly options: RouterTaskOptions) {
    const { bodies, metrics, log, incarnation, pools, settings } = options;
    const { streamStallMillis } = settings.timings;
    const held = new HeldBytes(settings.limits);
    this.callers = new CallerExchanges({
      bodies,
      held,
      pipeline: settings.limits,
      streamStallMillis,
      addressing: { byRoutes: settings.byRoutes, headers: settings.headers },
      retryAfterUnit: settings.retryAfterUnit,
      metrics,
      log,
      arrived: (request) => this.post({ type: 'request', request }),
      opened: (exchange) => void this.trails.set(exchange.number, new RequestTrail(exchange, log)),
      closed: (request) => this.forget(request),
      cancelled: (request) => {
        this.trails.get(request)?.cancelled();
        this.post({ type: 'request-cancelled', request });
      },
    });
    this.attempts = new UpstreamAttempts({
      incarnation,
      pools,
      headers: settings.headers,
      storedAnswerBytes: settings.limits.storedAnswerBytes,
      held,
      ended: (attempt, result) => {
        metrics.attemptEnded(result.type);
        this.trailOf(attempt)?.ended(attempt, result);
        this.post({ type: 'attempt-ended', attempt, result });
      },
      carried: settings.linkMegabits === undefined ? null : (bytes, millis) => this.carried(bytes, millis),
      noticed: (attempt, notice) => this.post({ type: 'upstream-notice', attempt, notice }),
    });
  }

  /** What callers' connections hold now. */
  connectionsUsage(): ConnectionsUsage {
    return this.callers.usage();
  }

  /** Requests of callers under way. */
  get openRequests(): number {
    return this.callers.size;
  }

  start(): void {
    this.post({ type: 'tick' });
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
    this.attempts.cancelAll();
  }

  /** Takes a caller's request; it gets exactly one answer unless its caller goes away. */
  accept(request: IncomingMessage, response: ServerResponse): void {
    this.callers.accept(request, response);
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
    const now = performance.now();
    const wall = Date.now();
    const millis = this.suspensions.find(now, wall);
    if (millis > 0) {
      this.run({ type: 'suspended', millis }, now, wall);
    }
    this.run(input, now, wall);
    this.attempts.flow();
  }

  private run(input: RouterInput, now: MonotonicMillis, wall: WallMillis): void {
    for (const effect of this.options.core.step(input, now, wall)) {
      this.carryOut(effect);
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
    const { links, metrics, log } = this.options;
    switch (effect.type) {
      case 'send-control':
        links.send(effect.to, effect.message);
        return;
      case 'dispatch':
        this.dispatch(effect);
        return;
      case 'check-run':
        this.checkRun(effect);
        return;
      case 'cancel-attempt':
        this.attempts.cancel(effect.attempt);
        return;
      case 'recall-unsent':
        this.attempts.recall(effect.upstream);
        return;
      case 'deliver':
        this.callers.answer(effect.request, (exchange) => this.deliver(exchange, effect.attempt));
        return;
      case 'deliver-stored':
        this.callers.answer(effect.request, (exchange) => {
          exchange.answerStored(effect.answer);
          metrics.answered(exchange.head.service, secondsOf(exchange), 'stored');
        });
        return;
      case 'refuse':
        this.callers.answer(effect.request, (exchange) => {
          exchange.answerOwn(effect);
          this.trails.get(exchange.number)?.refused(effect);
          metrics.refused(exchange.head.service, effect.outcome, effect.reason);
        });
        return;
      case 'limit-callers':
        this.options.limitsChanged(effect.limits);
        return;
      case 'policy-trace':
        this.options.traced(effect.record);
        return;
      case 'log':
        log.log(effect.level, effect.event, effect.fields);
        return;
    }
  }

  private carried(bytes: number, millis: number): void {
    if (bytes >= LEAST_CARRIED_BYTES) {
      this.post({ type: 'answer-carried', bytes, millis });
    }
  }

  private checkRun({ run, address }: Extract<RouterEffect, { readonly type: 'check-run' }>): void {
    const { outgoing, timings } = this.options.settings;
    const options = { localAddress: outgoing, timeoutMillis: timings.connectMillis };
    checkRun(address, options, (check) => this.post({ type: 'run-checked', run, check }));
  }

  private noteSent(exchange: CallerExchange, effect: DispatchEffect): void {
    this.trails.get(exchange.number)?.sent(effect);
    this.attemptOwners.set(effect.attempt, exchange.number);
  }

  /** The trail that an attempt belongs to, once: it has ended. */
  private trailOf(attempt: AttemptNumber): RequestTrail | undefined {
    const request = this.attemptOwners.get(attempt);
    this.attemptOwners.delete(attempt);
    return request === undefined ? undefined : this.trails.get(request);
  }

  private forget(request: RequestNumber): void {
    this.trails.delete(request);
  }

  private dispatch(effect: DispatchEffect): void {
    const exchange = this.callers.find(effect.request);
    if (exchange === undefined) {
      this.post({ type: 'attempt-ended', attempt: effect.attempt, result: { type: 'connect-failed' } });
      return;
    }
    this.noteSent(exchange, effect);
    this.attempts.start(effect, exchange);
  }

  private deliver(exchange: CallerExchange, attempt: AttemptNumber): void {
    if (this.attempts.deliver(attempt, exchange)) {
      this.options.metrics.answered(exchange.head.service, secondsOf(exchange), 'upstream');
      this.trails.get(exchange.number)?.delivered(attempt);
      return;
    }
    this.answerMissing(exchange, attempt);
  }

  private answerMissing(exchange: CallerExchange, attempt: AttemptNumber): void {
    const request: RequestNumber = exchange.number;
    this.options.log.error('answer-missing', { request, attempt });
    exchange.answerOwn(ANSWER_MISSING);
  }
}

function secondsOf(exchange: CallerExchange): number {
  return (performance.now() - exchange.arrivedAt) / 1000;
}
