/** One request of a caller and the one answer that it gets. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { StoredAnswer } from '../../ledger/types.js';
import { HEADERS, type Outcome } from '../../model/outcome.js';
import type { RefusalReason, RequestNumber } from '../../routing/types.js';
import type { FaultAnswer, RequestFault } from '../../wire/http/request-faults.js';
import { AnswerWriter } from './answer-writer.js';
import type { TurnedAwayError } from './bad-request-error.js';
import { NO_BODY } from './body-reader.js';
import type { CallerConnection } from './caller-connection.js';
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
/** An answer that broke before it began for its caller. Its upstream had begun it, but nobody knows what it would have said. */
const ANSWER_BROKEN: OwnAnswer = {
  status: 502,
  outcome: 'unknown',
  reason: 'upstream-failed',
  retryAfterMillis: null,
};
/** Smaller answers are written at once: a socket holds them. */
const LARGE_ANSWER_BYTES = 16 * 1024;
/** Methods without effects (RFC 9110, 9.2.1). */
const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'TRACE']);
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

/** Why an answer was broken off. */
export type BreakReason = 'upstream-broke' | 'caller-stalled' | 'unwritable' | 'needs-length';

export class CallerExchange {
  /** When its head arrived, on the monotonic clock. */
  readonly arrivedAt = performance.now();
  private answering = false;
  private answerBytes = 0;
  private writer: AnswerWriter | null = null;
  private over = false;
  private received: Buffer | null = null;

  constructor(
    readonly number: RequestNumber,
    readonly head: CallerRequestHead,
    private readonly streams: CallerStreams,
    readonly connection: CallerConnection,
  ) {}

  private get request(): IncomingMessage {
    return this.streams.request;
  }

  private get response(): ServerResponse {
    return this.streams.response;
  }

  get rawHeaders(): readonly string[] {
    return this.request.rawHeaders;
  }

  get isSafe(): boolean {
    return SAFE_METHODS.has(this.head.method);
  }

  /** Its body has come whole. */
  receive(body: Buffer): void {
    this.received = body;
  }

  get isWhole(): boolean {
    return this.received !== null;
  }

  get body(): Buffer {
    return this.received ?? NO_BODY;
  }

  get bodyBytes(): number {
    return this.body.length;
  }

  /** Whether its answer was given whole or can't be given any more. */
  get isOver(): boolean {
    return this.over;
  }

  /** How long the caller will still wait, if it said so: what was spent behind others of its connection counts. */
  get remainingMillis(): number | null {
    const { deadlineMillis } = this.head;
    if (deadlineMillis === null) {
      return null;
    }
    return deadlineMillis - Math.floor(performance.now() - this.arrivedAt);
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

  /** Whether its answer is to be the last one of the connection. */
  get closesConnection(): boolean {
    return !this.response.shouldKeepAlive;
  }

  set closesConnection(closes: boolean) {
    this.response.shouldKeepAlive = !closes;
  }

  /** Gives a whole answer of an upstream. */
  answerWhole(status: number, headers: string[], body: Buffer): void {
    if (body.length > LARGE_ANSWER_BYTES) {
      const writer = this.startStream(status, headers, body.length);
      writer.write(body);
      writer.end();
      return;
    }
    this.begin(body.length);
    this.response.writeHead(status, headers);
    this.response.end(body);
  }

  /**
   * Gives an answer whose length its upstream didn't say. Nobody can tell whether all of it came, so the caller isn't told a
   * length either: it ends with the connection.
   */
  answerUnframed(status: number, headers: string[], body: Buffer): void {
    this.response.useChunkedEncodingByDefault = false;
    this.closesConnection = true;
    this.connection.closeAfter(this);
    // Never broken off for a slow reader: cut short, an answer that ends with its connection would look whole.
    this.begin(body.length);
    this.response.writeHead(status, headers);
    this.response.end(body);
  }

  /** Starts an answer of about so many bytes that is given piece by piece, and gives what it is written to. */
  startStream(status: number, headers: string[], bytes: number): AnswerWriter {
    this.answering = true;
    this.connection.answerBegins(this, bytes, true);
    const writer = new AnswerWriter({
      response: this.response,
      status,
      headers,
      account: this.connection,
      broke: (begun) => this.streamBroke(begun),
    });
    this.writer = writer;
    if (this.connection.isAtFront(this)) {
      writer.begin();
    }
    return writer;
  }

  /** The connection is free for its answer. */
  reachFront(): void {
    try {
      this.writer?.begin();
    } catch {
      // Headers of an upstream that can't be written.
      this.breakOff('unwritable');
    }
  }

  /** Gives an answer that the ledger kept. */
  answerStored(answer: StoredAnswer): void {
    const body = Buffer.from(answer.body, 'base64');
    const headers = [HEADERS.outcome, 'ran', 'content-length', String(body.length)];
    if (answer.contentType !== '') {
      headers.push('content-type', answer.contentType);
    }
    if (answer.truncated) {
      headers.push(HEADERS.reason, BODY_NOT_KEPT);
    }
    this.answerWhole(answer.status, headers, body);
  }

  /** Breaks the caller's connection, once what stands in front is answered. */
  breakOff(reason: BreakReason): void {
    this.answering = true;
    this.writer?.close();
    this.connection.breakAt(this, reason);
    this.response.destroy();
  }

  /** Gives an answer that turns it away; its connection takes nothing more. */
  turnAway(answer: OwnAnswer): void {
    this.closesConnection = true;
    this.connection.close();
    this.answerOwn(answer);
  }

  /** Gives an answer of the router's own. */
  answerOwn(answer: OwnAnswer): void {
    this.begin(0);
    writeOwnAnswer(this.response, answer, this.streams.retryAfterUnit);
  }

  /** Its answer was given whole, or can't be given any more. `false`: that is known already. */
  end(): boolean {
    if (this.over) {
      return false;
    }
    this.over = true;
    this.writer?.close();
    if (this.answerBytes > 0) {
      this.connection.hold(-this.answerBytes);
    }
    return true;
  }

  private begin(answerBytes: number): void {
    this.answering = true;
    this.connection.answerBegins(this, answerBytes, false);
    this.answerBytes = answerBytes;
    this.connection.hold(answerBytes);
  }

  private streamBroke(begun: boolean): void {
    this.writer = null;
    if (begun) {
      this.breakOff('upstream-broke');
    } else {
      this.answerOwn(ANSWER_BROKEN);
    }
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
