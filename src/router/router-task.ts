/** Drives the router core: passes it one input at a time, executes its effects in order and schedules its ticks. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { toError } from '../errors/ternmount-error.js';
import type { Logger } from '../logging/logger.js';
import type { CallerLimits } from '../model/declaration.js';
import type { Incarnation, MonotonicMillis, UpstreamId, WallMillis } from '../model/identifiers.js';
import type { PolicyTraceRecord } from '../policy/index.js';
import { NumberedTable } from '../routing/numbered-table.js';
import type { RelayTarget } from '../routing/paths/path-watch.js';
import type {
  AttemptNumber,
  RelayRequestNumber,
  RequestNumber,
  RouterCore,
  RouterEffect,
  RouterInput,
} from '../routing/types.js';
import type { DispatchEffect } from './attempts/attempt.js';
import type { PathTries } from './attempts/path-tries.js';
import { checkRun } from './attempts/run-check.js';
import { UpstreamAttempts } from './attempts/upstream-attempts.js';
import type { UpstreamPools } from './attempts/upstream-pools.js';
import type { BodyReader } from './caller/body-reader.js';
import type { CallerExchange, RouterAnswer } from './caller/caller-exchange.js';
import { CallerExchanges, type ConnectionsUsage } from './caller/caller-exchanges.js';
import { HeldBytes } from './caller/held-bytes.js';
import type { ControlLinks } from './control-links.js';
import { HoldUpWatch } from './hold-up-watch.js';
import type { RouterMetrics } from './metrics.js';
import { RequestTrail } from './request-trail.js';
import type { CompleteRouterSettings } from './settings.js';
import { SuspensionDetector } from './suspension-detector.js';

export interface RouterTaskOptions {
  readonly settings: CompleteRouterSettings;
  readonly incarnation: Incarnation;
  readonly core: RouterCore;
  readonly pools: UpstreamPools;
  readonly pathTries: PathTries;
  readonly bodies: BodyReader;
  readonly links: ControlLinks;
  readonly metrics: RouterMetrics;
  readonly log: Logger;
  /** Called when the declared limits for callers change. */
  readonly onCallerLimits: (limits: CallerLimits) => void;
  /** Called for each evaluation of a policy while traces are recorded. */
  readonly onPolicyTrace: (record: PolicyTraceRecord) => void;
  /** Called when the core threw: its state may be inconsistent. */
  readonly failed: (error: Error) => void;
}

/** Shortest wait for a tick, so that a deadline that stays in the past can't keep the process busy. */
const MIN_TICK_MILLIS = 1;
/** Smaller answers aren't used to estimate the link: it transfers them faster than their upstream writes them. */
const MIN_TRANSFER_SAMPLE_BYTES = 16_384;
/** Sent in place of an answer that is missing although it was reported to the core. */
const ANSWER_MISSING: RouterAnswer = {
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
  /** The request of each attempt in progress. */
  private readonly requestOfAttempt = new NumberedTable<RequestNumber>();
  private readonly suspensionDetector = new SuspensionDetector();
  private readonly holdUps = new HoldUpWatch();
  private relayRequests: RelayRequestNumber = 0;
  private readonly relayAnswers = new Map<RelayRequestNumber, (target: RelayTarget) => void>();
  private timer: NodeJS.Timeout | undefined;
  private tickDue = Number.POSITIVE_INFINITY;
  /** When the timer of the tick is to fire: a tick that is due in the past comes at the next moment. */
  private tickAt = Number.POSITIVE_INFINITY;
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
      closed: (request) => this.removeTrail(request),
      cancelled: (request) => {
        this.trails.get(request)?.logCancelled();
        this.post({ type: 'request-cancelled', request });
      },
    });
    this.attempts = new UpstreamAttempts({
      incarnation,
      pools,
      headers: settings.headers,
      storedAnswerBytes: settings.limits.storedAnswerBytes,
      held,
      stallMillis: streamStallMillis,
      onConnected: (attempt, use) => this.trailOf(attempt)?.recordConnected(attempt, use),
      onForeignAnswer: (attempt, status, receivedId) =>
        this.trailOf(attempt)?.logForeignAnswer(attempt, status, receivedId),
      ended: (attempt, result) => {
        metrics.recordAttempt(result.type);
        this.detachTrail(attempt)?.recordEnd(attempt, result);
        this.post({ type: 'attempt-ended', attempt, result });
      },
      onBodyReceived:
        settings.linkMegabits === undefined ? null : (bytes, millis) => this.recordTransfer(bytes, millis),
      onNotice: (attempt, notice) => this.post({ type: 'upstream-notice', attempt, notice }),
    });
  }

  /** Current resource usage of callers' connections. */
  connectionsUsage(): ConnectionsUsage {
    return this.callers.usage();
  }

  /** Number of callers' requests in progress. */
  get openRequests(): number {
    return this.callers.size;
  }

  /** When a signal that is heard now may have come at the earliest. */
  earliestSignalAt(): MonotonicMillis {
    return this.holdUps.earliestSignalAt(performance.now());
  }

  start(): void {
    this.holdUps.start();
    this.post({ type: 'tick' });
  }

  /** Called when a planned stop begins: what waits is refused at `endsAt`, and what runs is left until `breaksOffAt`. */
  beginStop(endsAt: MonotonicMillis, breaksOffAt: MonotonicMillis): void {
    this.callers.beginStop();
    this.post({ type: 'stopping', endsAt, breaksOffAt });
  }

  /** Resolves once the end of a planned stop has answered all that can be answered, or the core has failed. */
  get lastAnswered(): Promise<void> {
    return this.callers.lastAnswered;
  }

  /** Called in a planned stop when the time to take answers is over. */
  endStreamedAnswers(): void {
    this.callers.endStreamed();
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
    this.holdUps.stop();
    this.attempts.cancelAll();
    this.callers.onCoreEnded();
  }

  /** Accepts a caller's request, which gets exactly one answer unless its caller disconnects. */
  accept(request: IncomingMessage, response: ServerResponse): void {
    this.callers.accept(request, response);
  }

  /** Asks the core where another router that asks for an upstream is to be connected to; `answer` is called once. */
  askRelayTarget(upstream: UpstreamId, answer: (target: RelayTarget) => void): void {
    this.relayRequests += 1;
    this.relayAnswers.set(this.relayRequests, answer);
    this.post({ type: 'relay-requested', number: this.relayRequests, upstream });
  }

  /** Passes an input to the core, after the effects of inputs posted before. */
  post(input: RouterInput): void {
    if (this.stopped) {
      return;
    }
    this.mailbox.push(input);
    if (!this.stepping) {
      this.drainMailbox();
    }
  }

  private drainMailbox(): void {
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
    const millis = this.suspensionDetector.detect(now, wall);
    if (millis > 0) {
      this.stepCore({ type: 'suspended', millis }, now, wall);
    }
    this.stepCore(input, now, wall);
    this.attempts.startStreams();
  }

  private stepCore(input: RouterInput, now: MonotonicMillis, wall: WallMillis): void {
    for (const effect of this.options.core.step(input, now, wall)) {
      this.execute(effect);
    }
  }

  /** Sets the timer again only if the next tick is due earlier than the one set; an early tick is harmless. */
  private schedule(): void {
    const due = this.options.core.nextDeadline();
    if (this.stopped || due >= this.tickDue) {
      return;
    }
    clearTimeout(this.timer);
    this.tickDue = due;
    const now = performance.now();
    const wait = Math.max(MIN_TICK_MILLIS, Math.ceil(due - now));
    this.tickAt = now + wait;
    this.timer = setTimeout(() => this.tick(), wait);
  }

  private tick(): void {
    this.holdUps.recordTimer(this.tickAt, performance.now());
    this.tickDue = Number.POSITIVE_INFINITY;
    this.post({ type: 'tick' });
  }

  private execute(effect: RouterEffect): void {
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
      case 'try-path':
        this.options.pathTries.try(effect, (outcome) =>
          this.post({ type: 'path-tried', number: effect.number, outcome }),
        );
        return;
      case 'close-path':
        this.options.pools.closePath(effect.address, effect.via);
        return;
      case 'relay-target':
        this.answerRelay(effect);
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
          exchange.sendStoredAnswer(effect.answer);
          metrics.recordAnswer(exchange.head.service, secondsOf(exchange), 'stored');
        });
        return;
      case 'refuse':
        this.callers.answer(effect.request, (exchange) => {
          exchange.sendRouterAnswer(effect);
          this.trails.get(exchange.number)?.logRefused(effect);
          metrics.recordRefusal(exchange.head.service, effect.outcome, effect.reason);
        });
        return;
      case 'stop-ended':
        this.callers.endStop();
        return;
      case 'limit-callers':
        this.options.onCallerLimits(effect.limits);
        return;
      case 'policy-trace':
        this.options.onPolicyTrace(effect.record);
        return;
      case 'log':
        log.log(effect.level, effect.event, effect.fields);
        return;
    }
  }

  private answerRelay({ number, target }: Extract<RouterEffect, { readonly type: 'relay-target' }>): void {
    const answer = this.relayAnswers.get(number);
    this.relayAnswers.delete(number);
    answer?.(target);
  }

  private recordTransfer(bytes: number, millis: number): void {
    if (bytes >= MIN_TRANSFER_SAMPLE_BYTES) {
      this.post({ type: 'answer-carried', bytes, millis });
    }
  }

  private checkRun({ run, address }: Extract<RouterEffect, { readonly type: 'check-run' }>): void {
    const { outgoing, timings } = this.options.settings;
    const options = { localAddress: outgoing, timeoutMillis: timings.connectMillis };
    checkRun(address, options, (check) => this.post({ type: 'run-checked', run, check }));
  }

  private recordSent(exchange: CallerExchange, effect: DispatchEffect): void {
    this.trails.get(exchange.number)?.recordSent(effect);
    this.requestOfAttempt.set(effect.attempt, exchange.number);
  }

  private trailOf(attempt: AttemptNumber): RequestTrail | undefined {
    const request = this.requestOfAttempt.get(attempt);
    return request === undefined ? undefined : this.trails.get(request);
  }

  /** Returns the trail of an attempt that has ended, and forgets the attempt. */
  private detachTrail(attempt: AttemptNumber): RequestTrail | undefined {
    const trail = this.trailOf(attempt);
    this.requestOfAttempt.delete(attempt);
    return trail;
  }

  private removeTrail(request: RequestNumber): void {
    this.trails.delete(request);
  }

  private dispatch(effect: DispatchEffect): void {
    const exchange = this.callers.find(effect.request);
    if (exchange === undefined) {
      const result = { type: 'connect-failed', cancelled: true } as const;
      this.post({ type: 'attempt-ended', attempt: effect.attempt, result });
      return;
    }
    this.recordSent(exchange, effect);
    this.attempts.start(effect, exchange);
  }

  private deliver(exchange: CallerExchange, attempt: AttemptNumber): void {
    if (this.attempts.deliver(attempt, exchange)) {
      this.options.metrics.recordAnswer(exchange.head.service, secondsOf(exchange), 'upstream');
      this.trails.get(exchange.number)?.logDelivered(attempt);
      return;
    }
    this.sendMissingAnswer(exchange, attempt);
  }

  private sendMissingAnswer(exchange: CallerExchange, attempt: AttemptNumber): void {
    const request: RequestNumber = exchange.number;
    this.options.log.error('answer-missing', { request, attempt });
    exchange.sendRouterAnswer(ANSWER_MISSING);
  }
}

function secondsOf(exchange: CallerExchange): number {
  return (performance.now() - exchange.arrivedAt) / 1000;
}
