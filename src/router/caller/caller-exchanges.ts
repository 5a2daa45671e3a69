/** The callers' requests under way by their numbers: takes them in, and gives each the one answer that it gets. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { toError } from '../../errors/ternmount-error.js';
import type { Logger } from '../../logging/logger.js';
import type { RequestFingerprint } from '../../model/crash-suspect.js';
import { NumberedTable } from '../../routing/numbered-table.js';
import type { ArrivedRequest, RequestNumber } from '../../routing/types.js';
import type { RouterMetrics } from '../metrics.js';
import { isTurnedAway, type TurnedAwayError } from './bad-request-error.js';
import type { BodyReader } from './body-reader.js';
import { CallerConnection, type CallerConnectionParts } from './caller-connection.js';
import {
  type BreakReason,
  CallerExchange,
  type CallerStreams,
  type OwnAnswer,
  type RetryAfterUnit,
  writeOwnAnswer,
} from './caller-exchange.js';
import type { HeldBytes } from './held-bytes.js';
import { fingerprintOf } from './idempotency.js';
import { PausedConnections } from './paused-connections.js';
import type { PipelineLimits } from './pipeline-order.js';
import { fingerprintRequest } from './request-fingerprint.js';
import { type AddressingOptions, type CallerRequestHead, readCallerRequest } from './request-head.js';
import { variantOf } from './request-variant.js';

/** What callers' connections hold. */
export interface ConnectionsUsage {
  readonly connections: number;
  /** Those that aren't read. */
  readonly paused: number;
  /** Requests of the connection that has the most. */
  readonly deepest: number;
  readonly heldAnswerBytes: number;
  /** Answers that aren't read further until there is room. */
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
  /** A request is under way, and is over. */
  readonly opened: (exchange: CallerExchange) => void;
  readonly closed: (request: RequestNumber) => void;
  /** The caller went away before it was answered. */
  readonly cancelled: (request: RequestNumber) => void;
}

/** Retry-After when the router holds too many bodies. */
const BODIES_HELD_RETRY_MILLIS = 1000;

export class CallerExchanges {
  private readonly exchanges = new NumberedTable<CallerExchange>();
  private readonly connections = new Map<Socket, CallerConnection>();
  private readonly paused = new PausedConnections();
  private readonly connectionParts: CallerConnectionParts;
  private count = 0;

  constructor(private readonly parts: CallerExchangesParts) {
    const { pipeline, held, streamStallMillis } = parts;
    this.connectionParts = {
      limits: pipeline,
      held,
      paused: this.paused,
      stallMillis: streamStallMillis,
      handOn: (exchange) => this.handOn(exchange),
      ended: (exchange, wasHandedOn) => this.ended(exchange, wasHandedOn),
      broken: (exchange, reason, lostBehind) => this.broken(exchange, reason, lostBehind),
    };
  }

  /** Requests under way, with those that wait behind others of their connection. */
  get size(): number {
    return this.exchanges.size;
  }

  /** Takes a caller's request; it gets exactly one answer unless its caller goes away. */
  accept(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.connectionOf(request.socket);
    if (!connection.takesRequests()) {
      return;
    }
    let head: CallerRequestHead;
    try {
      head = readCallerRequest(request, this.parts.addressing);
    } catch (thrown) {
      this.turnAwayUnread(connection, response, thrown);
      return;
    }
    const { retryAfterUnit } = this.parts;
    const exchange = this.open(head, connection, { request, response, retryAfterUnit });
    this.parts.bodies.read(request, (error, body) => this.receive(exchange, error, body));
  }

  /** The exchange of a request whose caller is still there. */
  find(number: RequestNumber): CallerExchange | undefined {
    return this.exchanges.get(number);
  }

  /** Gives an answer, unless the caller went away or got one before. */
  answer(number: RequestNumber, give: (exchange: CallerExchange) => void): void {
    const exchange = this.exchanges.get(number);
    if (exchange === undefined || exchange.answered) {
      return;
    }
    try {
      give(exchange);
    } catch (thrown) {
      // Headers of an upstream that can't be written: a broken connection is never taken for an answer.
      this.parts.log.error('answer-failed', { request: number, reason: toError(thrown) });
      exchange.breakOff('unwritable');
    }
  }

  /** What callers' connections hold now. */
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
    const connection = new CallerConnection(socket, this.connectionParts);
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
    streams.response.once('close', () => connection.finished(exchange));
    connection.add(exchange);
    return exchange;
  }

  private receive(exchange: CallerExchange, error: TurnedAwayError | null, body: Buffer): void {
    if (error !== null) {
      this.turnAway(error, (answer) => exchange.turnAway(answer));
      return;
    }
    if (exchange.isOver) {
      this.parts.bodies.release(body);
      return;
    }
    exchange.receive(body);
    this.exchanges.set(exchange.number, exchange);
    exchange.connection.complete(exchange);
  }

  private handOn(exchange: CallerExchange): void {
    this.parts.opened(exchange);
    this.parts.arrived(arrivedRequest(exchange));
  }

  private ended(exchange: CallerExchange, wasHandedOn: boolean): void {
    this.exchanges.delete(exchange.number);
    this.parts.bodies.release(exchange.body);
    if (!wasHandedOn) {
      return;
    }
    if (!exchange.answered) {
      this.parts.cancelled(exchange.number);
    }
    this.parts.closed(exchange.number);
  }

  private broken(exchange: CallerExchange, reason: BreakReason, lostBehind: number): void {
    this.parts.metrics.brokenOff(reason);
    const { head, number } = exchange;
    this.parts.log.info('answer-broken-off', { request: number, id: head.requestId, reason, lostBehind });
  }

  /** Turns away a request whose head makes no sense. */
  private turnAwayUnread(connection: CallerConnection, response: ServerResponse, thrown: unknown): void {
    connection.close();
    if (!isTurnedAway(thrown)) {
      this.parts.log.error('request-failed', { reason: toError(thrown) });
      response.destroy();
      return;
    }
    this.turnAway(thrown as TurnedAwayError, (answer) => {
      // The rest of the body isn't read, so the connection can't carry another request.
      response.shouldKeepAlive = false;
      writeOwnAnswer(response, answer, this.parts.retryAfterUnit);
    });
  }

  private turnAway(error: TurnedAwayError, give: (answer: OwnAnswer) => void): void {
    const { status, reason, message } = error;
    const retryAfterMillis = reason === 'queue-full' ? BODIES_HELD_RETRY_MILLIS : null;
    give({ status, outcome: 'not-run', reason, retryAfterMillis, message });
    this.parts.metrics.refused('', 'not-run', reason);
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
    /** Made when it is asked for: while no request is suspected, that is only after an attempt without an answer. */
    get fingerprint(): RequestFingerprint {
      fingerprint ??= fingerprintRequest(head, rawHeaders, body);
      return fingerprint;
    },
    deadlineMillis: exchange.remainingMillis,
    variant: method === 'GET' ? variantOf(rawHeaders, body.length) : null,
    idempotency:
      idempotency === null ? null : { ...idempotency, fingerprint: fingerprintOf(method, target, body) },
  };
}
