/** One request of a caller and the one answer that it gets. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { StoredAnswer } from '../../ledger/types.js';
import { HEADERS, type Outcome } from '../../model/outcome.js';
import type { RefusalReason, RequestNumber } from '../../routing/types.js';
import type { FaultAnswer, RequestFault } from '../../wire/http/request-faults.js';
import type { TurnedAwayError } from './bad-request-error.js';
import { forwardedRequestHeaders } from './header-rules.js';
import type { CallerRequestHead } from './request-head.js';

/** An answer of the router's own. */
export interface OwnAnswer {
  readonly status: number;
  readonly outcome: Outcome;
  readonly reason: RefusalReason | TurnedAwayError['reason'];
  readonly retryAfterMillis: number | null;
  readonly message?: string;
}

const FAULT_MESSAGES: Readonly<Record<RequestFault, string>> = {
  malformed: 'the request is malformed',
  'header-too-large': 'the header is too large',
  'too-slow': 'the request did not come whole in time',
};
/** Reason given with a stored answer whose body was too large to keep. */
const BODY_NOT_KEPT = 'answer-not-kept';

/** Whether `Retry-After` is rounded up to whole seconds, as RFC 9110 has it, or says milliseconds as a fraction. */
export type RetryAfterUnit = 'whole-seconds' | 'fractions';

/** The two ends of a request, and how its refusals are worded. */
export interface CallerStreams {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly retryAfterUnit: RetryAfterUnit;
}

export class CallerExchange {
  /** When it arrived, on the monotonic clock. */
  readonly arrivedAt = performance.now();
  private answering = false;

  constructor(
    readonly number: RequestNumber,
    readonly head: CallerRequestHead,
    readonly body: Buffer,
    private readonly streams: CallerStreams,
  ) {}

  private get request(): IncomingMessage {
    return this.streams.request;
  }

  private get response(): ServerResponse {
    return this.streams.response;
  }

  /** Headers for the upstream, without the router's own. */
  forwardedHeaders(): string[] {
    return forwardedRequestHeaders(this.request.rawHeaders);
  }

  /** Whether an answer has been started. */
  get answered(): boolean {
    return this.answering;
  }

  /** Whether the caller can tell the end of an answer without a length from a connection that broke. */
  get takesChunks(): boolean {
    return this.request.httpVersion !== '1.0';
  }

  /** Gives a whole answer of an upstream. */
  answerWhole(status: number, headers: string[], body: Buffer): void {
    this.answering = true;
    this.response.writeHead(status, headers);
    this.response.end(body);
  }

  /**
   * Gives an answer whose length its upstream didn't say. Nobody can tell whether all of it came, so the caller isn't told a
   * length either: it ends with the connection.
   */
  answerUnframed(status: number, headers: string[], body: Buffer): void {
    this.answering = true;
    this.response.useChunkedEncodingByDefault = false;
    this.response.shouldKeepAlive = false;
    this.response.writeHead(status, headers);
    this.response.end(body);
  }

  /** Starts an answer that is given piece by piece, and gives the stream to write it to. */
  startStream(status: number, headers: string[]): ServerResponse {
    this.answering = true;
    this.response.writeHead(status, headers);
    this.response.flushHeaders();
    return this.response;
  }

  /** Gives an answer that the ledger kept. */
  answerStored(answer: StoredAnswer): void {
    this.answering = true;
    const body = Buffer.from(answer.body, 'base64');
    const headers = [HEADERS.outcome, 'ran', 'content-length', String(body.length)];
    if (answer.contentType !== '') {
      headers.push('content-type', answer.contentType);
    }
    if (answer.truncated) {
      headers.push(HEADERS.reason, BODY_NOT_KEPT);
    }
    this.response.writeHead(answer.status, headers);
    this.response.end(body);
  }

  /** Breaks the caller's connection. */
  breakOff(): void {
    this.answering = true;
    this.response.destroy();
  }

  /** Gives an answer of the router's own. */
  answerOwn(answer: OwnAnswer): void {
    this.answering = true;
    writeOwnAnswer(this.response, answer, this.streams.retryAfterUnit);
  }
}

/** The router's words for what is no request: none of it reached an upstream. */
export function describeRequestFault(fault: RequestFault): FaultAnswer {
  return {
    headers: { 'cache-control': 'no-store', [HEADERS.outcome]: 'not-run', [HEADERS.reason]: 'bad-request' },
    body: {
      outcome: 'not-run',
      reason: 'bad-request',
      message: FAULT_MESSAGES[fault],
      retryAfterSeconds: null,
    },
  };
}

/** Whole seconds, at least one; or seconds with three digits after the point. */
export function retryAfterSeconds(millis: number, unit: RetryAfterUnit = 'whole-seconds'): number {
  return unit === 'fractions' ? Math.ceil(millis) / 1000 : Math.max(1, Math.ceil(millis / 1000));
}

export function writeOwnAnswer(
  response: ServerResponse,
  answer: OwnAnswer,
  unit: RetryAfterUnit = 'whole-seconds',
): void {
  const { status, outcome, reason, retryAfterMillis, message } = answer;
  const seconds = retryAfterMillis === null ? null : retryAfterSeconds(retryAfterMillis, unit);
  const body = Buffer.from(JSON.stringify({ outcome, reason, message, retryAfterSeconds: seconds }));
  response.setHeader('content-type', 'application/json');
  response.setHeader('content-length', body.length);
  response.setHeader('cache-control', 'no-store');
  response.setHeader(HEADERS.outcome, outcome);
  response.setHeader(HEADERS.reason, reason);
  if (seconds !== null) {
    response.setHeader('retry-after', seconds);
  }
  response.writeHead(status);
  response.end(body);
}
