/** The callers' requests under way by their numbers: takes them in, and gives each the one answer that it gets. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { toError } from '../../errors/ternmount-error.js';
import type { Logger } from '../../logging/logger.js';
import type { RequestFingerprint } from '../../model/crash-suspect.js';
import { NumberedTable } from '../../routing/numbered-table.js';
import type { ArrivedRequest, RequestNumber } from '../../routing/types.js';
import type { RouterMetrics } from '../metrics.js';
import { isTurnedAway, type TurnedAwayError } from './bad-request-error.js';
import type { BodyReader } from './body-reader.js';
import { CallerExchange, type RetryAfterUnit, writeOwnAnswer } from './caller-exchange.js';
import { fingerprintOf } from './idempotency.js';
import { fingerprintRequest } from './request-fingerprint.js';
import { type AddressingOptions, type CallerRequestHead, readCallerRequest } from './request-head.js';
import { variantOf } from './request-variant.js';

export interface CallerExchangesParts {
  readonly bodies: BodyReader;
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
  private count = 0;

  constructor(private readonly parts: CallerExchangesParts) {}

  /** Requests under way. */
  get size(): number {
    return this.exchanges.size;
  }

  /** Takes a caller's request; it gets exactly one answer unless its caller goes away. */
  accept(request: IncomingMessage, response: ServerResponse): void {
    let head: CallerRequestHead;
    try {
      head = readCallerRequest(request, this.parts.addressing);
    } catch (thrown) {
      this.turnAway(response, thrown);
      return;
    }
    this.parts.bodies.read(request, (error, body) => {
      if (error !== null) {
        this.turnAway(response, error);
        return;
      }
      this.open(head, body, request, response);
    });
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
      exchange.breakOff();
    }
  }

  private open(
    head: CallerRequestHead,
    body: Buffer,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    this.count += 1;
    const { retryAfterUnit } = this.parts;
    const streams = { request, response, retryAfterUnit };
    const exchange = new CallerExchange(this.count, head, body, streams);
    this.exchanges.set(exchange.number, exchange);
    this.parts.opened(exchange);
    response.once('close', () => this.closed(exchange));
    this.parts.arrived(arrivedRequest(exchange, request.rawHeaders));
  }

  private closed(exchange: CallerExchange): void {
    this.exchanges.delete(exchange.number);
    this.parts.bodies.release(exchange.body);
    if (!exchange.answered) {
      this.parts.cancelled(exchange.number);
    }
    this.parts.closed(exchange.number);
  }

  private turnAway(response: ServerResponse, thrown: unknown): void {
    if (!isTurnedAway(thrown)) {
      this.parts.log.error('request-failed', { reason: toError(thrown) });
      response.destroy();
      return;
    }
    const { status, reason, message } = thrown as TurnedAwayError;
    const retryAfterMillis = reason === 'queue-full' ? BODIES_HELD_RETRY_MILLIS : null;
    // The rest of the body isn't read, so the connection can't carry another request.
    response.setHeader('connection', 'close');
    const answer = { status, outcome: 'not-run', reason, retryAfterMillis, message } as const;
    writeOwnAnswer(response, answer, this.parts.retryAfterUnit);
    this.parts.metrics.refused('', 'not-run', reason);
  }
}

function arrivedRequest(exchange: CallerExchange, rawHeaders: readonly string[]): ArrivedRequest {
  const { number, head, body } = exchange;
  const { service, place, key, method, target, deadlineMillis, idempotency } = head;
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
    deadlineMillis,
    variant: method === 'GET' ? variantOf(rawHeaders, body.length) : null,
    idempotency:
      idempotency === null ? null : { ...idempotency, fingerprint: fingerprintOf(method, target, body) },
  };
}
