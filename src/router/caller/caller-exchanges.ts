/** The callers' open requests by number: accepts them and sends each its answer. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { toError } from '../../errors/ternmount-error.js';
import type { Logger } from '../../logging/logger.js';
import type { RequestFingerprint } from '../../model/crash-suspect.js';
import { NumberedTable } from '../../routing/numbered-table.js';
import { STOPPING_RETRY_MILLIS } from '../../routing/planned-stop.js';
import type { ArrivedRequest, RequestNumber } from '../../routing/types.js';
import type { RouterMetrics } from '../metrics.js';
import type { BodyReader } from './body-reader.js';
import { CallerConnection, type CallerConnectionOptions } from './caller-connection.js';
import {
  type AbortReason,
  CallerExchange,
  type CallerStreams,
  endConnectionAt,
  type ReplaceReason,
  type RetryAfterUnit,
  type RouterAnswer,
  type UnansweredCause,
  writeRouterAnswer,
} from './caller-exchange.js';
import type { HeldBytes } from './held-bytes.js';
import { idempotencyFingerprint } from './idempotency.js';
import { KnownAnswers } from './known-answers.js';
import { PausedConnections } from './paused-connections.js';
import type { PipelineLimits } from './pipeline-order.js';
import {
  isRejectedRequestError,
  type RejectedRequestError,
  StopEndedError,
} from './rejected-request-errors.js';
import { fingerprintRequest } from './request-fingerprint.js';
import { type AddressingOptions, type CallerRequestHead, readCallerRequest } from './request-head.js';
import { variantOf } from './request-variant.js';

/** Usage of the callers' connections. */
export interface ConnectionsUsage {
  readonly connections: number;
  /** Connections whose sockets aren't read. */
  readonly paused: number;
  /** Largest number of requests on one connection. */
  readonly deepest: number;
  readonly heldAnswerBytes: number;
  /** Answers that aren't read further until there is capacity. */
  readonly waitingAnswers: number;
}

export interface CallerExchangesParts {
  readonly bodies: BodyReader;
  readonly held: HeldBytes;
  readonly pipeline: PipelineLimits;
  readonly streamStallMillis: number;
  readonly addressing: AddressingOptions;
  readonly retryAfterUnit: RetryAfterUnit;
  readonly metrics: RouterMetrics;
  readonly log: Logger;
  readonly arrived: (request: ArrivedRequest) => void;
  /** Called when a request is dispatched. */
  readonly opened: (exchange: CallerExchange) => void;
  /** Called when a dispatched request is over. */
  readonly closed: (request: RequestNumber) => void;
  /** Called when the caller disconnected before its request was answered. */
  readonly cancelled: (request: RequestNumber) => void;
}

/** Time in which requests that waited behind others of their connection are refused at the end of a planned stop. */
const LAST_REFUSALS_MILLIS = 50;
/** Requests that are logged when the grace time of a planned stop is over. */
const MAX_LOGGED_OPEN = 200;
/** Retry-After of rejected requests; `null`: to send the same again is of no use. */
const RETRY_MILLIS: Readonly<Record<RejectedRequestError['reason'], number | null>> = {
  'bad-request': null,
  'body-too-large': null,
  'queue-full': 1000,
  stopping: STOPPING_RETRY_MILLIS,
};

export class CallerExchanges {
  private readonly exchanges = new NumberedTable<CallerExchange>();
  private readonly connections = new Map<Socket, CallerConnection>();
  private readonly paused = new PausedConnections();
  private readonly connectionOptions: CallerConnectionOptions;
  private count = 0;
  /** When the planned stop in progress began, on the monotonic clock; `null`: none has. */
  private stoppingSince: number | null = null;
  /** Resolves once the end of a planned stop has answered all that can be answered, or the core has ended. */
  readonly lastAnswered: Promise<void>;
  private onLastAnswered: () => void = () => {};

  constructor(private readonly parts: CallerExchangesParts) {
    this.lastAnswered = new Promise((resolve) => {
      this.onLastAnswered = resolve;
    });
    const { pipeline, held, streamStallMillis } = parts;
    this.connectionOptions = {
      limits: pipeline,
      held,
      paused: this.paused,
      known: new KnownAnswers(),
      isStopping: () => this.stoppingSince !== null,
      begins: (exchange) => this.logAnswerInStop(exchange),
      stallMillis: streamStallMillis,
      dispatch: (exchange) => this.dispatch(exchange),
      ended: (exchange, wasDispatched, unanswered) => this.ended(exchange, wasDispatched, unanswered),
      unwritable: ({ number: request }, reason) => this.parts.log.error('answer-failed', { request, reason }),
      replaced: (exchange, reason) => this.logReplaced(exchange, reason),
      broken: (exchange, reason, lostBehind) => this.broken(exchange, reason, lostBehind),
    };
  }

  /** Number of open requests, including those that wait behind others of their connection. */
  get size(): number {
    return this.exchanges.size;
  }

  /** Accepts a caller's request. It gets exactly one answer unless its caller disconnects. */
  accept(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.connectionOf(request.socket);
    if (!connection.acceptsRequests()) {
      const { headers, method } = request;
      const id = headers[this.parts.addressing.headers.requestId] ?? null;
      this.parts.log.info('request-ignored', { id, method, open: connection.size });
      return;
    }
    let head: CallerRequestHead;
    try {
      head = readCallerRequest(request, this.parts.addressing);
    } catch (thrown) {
      this.rejectInvalidHead(connection, response, thrown);
      return;
    }
    const { retryAfterUnit } = this.parts;
    const isLate = this.stoppingSince !== null && connection.isOverdue;
    const exchange = this.open(head, connection, { request, response, retryAfterUnit });
    exchange.isLate = isLate;
    this.parts.bodies.read(request, (error, body) => this.onBody(exchange, error, body));
  }

  /** Called when a planned stop begins. */
  beginStop(): void {
    this.stoppingSince = performance.now();
  }

  /**
   * Called at the end of a planned stop, when the core has answered what was handed on. No more requests are accepted, one whose body is still
   * coming is refused, and answers that are held for those behind them are replaced.
   */
  endStop(): void {
    for (const connection of this.connections.values()) {
      connection.closeWithLast();
      const { incomplete } = connection;
      if (incomplete !== undefined) {
        this.reject(new StopEndedError(), (answer) => incomplete.reject(answer));
      }
    }
    for (const exchange of [...this.exchanges.values()]) {
      exchange.endHeld();
    }
    setTimeout(() => {
      this.logOverdue();
      this.onLastAnswered();
    }, LAST_REFUSALS_MILLIS).unref();
  }

  /** Called when the core has ended, planned or not: it answers nothing any more. */
  onCoreEnded(): void {
    this.onLastAnswered();
  }

  /** Called when the time to take answers is over: those whose upstreams haven't sent all of them are aborted. */
  endStreamed(): void {
    for (const exchange of [...this.exchanges.values()]) {
      exchange.endStreamed();
    }
  }

  /** The exchange of a request whose caller is still connected. */
  find(number: RequestNumber): CallerExchange | undefined {
    return this.exchanges.get(number);
  }

  /** Sends an answer with `send`, unless the caller disconnected or the request was answered before. */
  answer(number: RequestNumber, send: (exchange: CallerExchange) => void): void {
    const exchange = this.exchanges.get(number);
    if (exchange === undefined || exchange.answered) {
      return;
    }
    try {
      send(exchange);
    } catch (thrown) {
      this.parts.log.error('answer-failed', { request: number, reason: toError(thrown) });
      exchange.abort('unwritable');
    }
  }

  /** Current usage of the callers' connections. */
  usage(): ConnectionsUsage {
    let paused = 0;
    let deepest = 0;
    for (const connection of this.connections.values()) {
      paused += connection.isPaused ? 1 : 0;
      deepest = Math.max(deepest, connection.size);
    }
    const { used: heldAnswerBytes, waiting: waitingAnswers } = this.parts.held;
    return { connections: this.connections.size, paused, deepest, heldAnswerBytes, waitingAnswers };
  }

  private connectionOf(socket: Socket): CallerConnection {
    const known = this.connections.get(socket);
    if (known !== undefined) {
      return known;
    }
    const connection = new CallerConnection(socket, this.connectionOptions);
    this.connections.set(socket, connection);
    socket.once('close', () => this.connections.delete(socket));
    return connection;
  }

  private open(
    head: CallerRequestHead,
    connection: CallerConnection,
    streams: CallerStreams,
  ): CallerExchange {
    this.count += 1;
    const exchange = new CallerExchange(this.count, head, streams, connection);
    streams.response.once('close', () => connection.onResponseClosed(exchange));
    connection.add(exchange);
    return exchange;
  }

  private onBody(exchange: CallerExchange, error: RejectedRequestError | null, body: Buffer): void {
    if (error !== null) {
      this.reject(error, (answer) => exchange.reject(answer));
      return;
    }
    if (exchange.isEnded || exchange.answered) {
      this.parts.bodies.release(body);
      return;
    }
    exchange.setBody(body);
    this.exchanges.set(exchange.number, exchange);
    exchange.connection.complete(exchange);
  }

  private dispatch(exchange: CallerExchange): void {
    this.logDispatchInStop(exchange);
    this.parts.opened(exchange);
    this.parts.arrived(arrivedRequest(exchange));
  }

  private ended(exchange: CallerExchange, wasDispatched: boolean, unanswered: UnansweredCause | null): void {
    this.exchanges.delete(exchange.number);
    if (unanswered !== null) {
      this.logUnanswered(exchange, wasDispatched, unanswered);
    }
    this.parts.bodies.release(exchange.body);
    if (!wasDispatched) {
      return;
    }
    if (!exchange.answered) {
      this.parts.cancelled(exchange.number);
    }
    this.parts.closed(exchange.number);
  }

  /** Logs the requests that the end of the process will leave without an answer. */
  private logOverdue(): void {
    const open = this.exchanges.values().filter(({ isAnswerWhole }) => !isAnswerWhole);
    if (open.length === 0) {
      return;
    }
    this.parts.log.info('stop-overdue', { openRequests: open.length });
    for (const exchange of open.slice(0, MAX_LOGGED_OPEN)) {
      this.logUnanswered(exchange, exchange.connection.wasDispatched(exchange), 'stop-ended');
    }
  }

  private logUnanswered(exchange: CallerExchange, wasDispatched: boolean, cause: UnansweredCause): void {
    const { number, head, isWhole, answered, arrivedAt } = exchange;
    this.parts.log.info('request-unanswered', {
      request: number,
      id: head.requestId,
      method: head.method,
      cause,
      isWhole,
      wasDispatched,
      isAnswerStarted: answered,
      afterMillis: Math.round(performance.now() - arrivedAt),
    });
  }

  private logDispatchInStop(exchange: CallerExchange): void {
    const { stoppingSince } = this;
    if (stoppingSince === null) {
      return;
    }
    const { number: request, head, arrivedAt, remainingMillis, connection } = exchange;
    this.parts.log.info('request-dispatched-in-stop', {
      request,
      id: head.requestId,
      method: head.method,
      arrivedStopMillis: Math.round(arrivedAt - stoppingSince),
      stopMillis: Math.round(performance.now() - stoppingSince),
      remainingMillis,
      open: connection.size,
    });
  }

  private logAnswerInStop({ number: request, head, closesConnection }: CallerExchange): void {
    const { stoppingSince } = this;
    if (stoppingSince !== null) {
      const stopMillis = Math.round(performance.now() - stoppingSince);
      this.parts.log.info('answer-in-stop', { request, id: head.requestId, stopMillis, closesConnection });
    }
  }

  private logReplaced({ number, head, connection }: CallerExchange, reason: ReplaceReason): void {
    const { requestId: id } = head;
    this.parts.log.info('answer-replaced', { request: number, id, reason, open: connection.size });
  }

  private broken(exchange: CallerExchange, reason: AbortReason, lostBehind: number): void {
    this.parts.metrics.recordBrokenAnswer(reason);
    const { head, number } = exchange;
    this.parts.log.info('answer-broken-off', { request: number, id: head.requestId, reason, lostBehind });
  }

  /** Rejects a request whose head is invalid. */
  private rejectInvalidHead(connection: CallerConnection, response: ServerResponse, thrown: unknown): void {
    connection.closeBehindLast();
    if (!isRejectedRequestError(thrown)) {
      this.parts.log.error('request-failed', { reason: toError(thrown) });
      endConnectionAt(response);
      return;
    }
    this.reject(thrown as RejectedRequestError, (answer) => {
      // The rest of the body isn't read, so the connection can't carry another request.
      response.shouldKeepAlive = false;
      writeRouterAnswer(response, answer, this.parts.retryAfterUnit);
    });
  }

  private reject(error: RejectedRequestError, send: (answer: RouterAnswer) => void): void {
    const { status, reason, message } = error;
    const retryAfterMillis = RETRY_MILLIS[reason];
    send({ status, outcome: 'not-run', reason, retryAfterMillis, message });
    this.parts.metrics.recordRefusal('', 'not-run', reason);
  }
}

function arrivedRequest(exchange: CallerExchange): ArrivedRequest {
  const { number, head, body, rawHeaders } = exchange;
  const { service, place, key, method, target, idempotency } = head;
  let fingerprint: RequestFingerprint | undefined;
  return {
    request: number,
    service,
    ...(place !== null && { place }),
    key,
    method,
    target,
    /** Computed on first use: while no request is suspected, it is read only after an attempt without an answer. */
    get fingerprint(): RequestFingerprint {
      fingerprint ??= fingerprintRequest(head, rawHeaders, body);
      return fingerprint;
    },
    deadlineMillis: exchange.remainingMillis,
    ...(exchange.isLate && { isLate: true }),
    variant: method === 'GET' ? variantOf(rawHeaders, body.length) : null,
    idempotency:
      idempotency === null
        ? null
        : { ...idempotency, fingerprint: idempotencyFingerprint(method, target, body) },
  };
}
