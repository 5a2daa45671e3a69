/** One request of a caller and its answer. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { toError } from '../../errors/ternmount-error.js';
import type { StoredAnswer } from '../../ledger/types.js';
import { HEADERS, type Outcome } from '../../model/outcome.js';
import type { RefusalReason, RequestNumber } from '../../routing/types.js';
import type { FaultAnswer, RequestFault } from '../../wire/http/request-faults.js';
import { AnswerWriter } from './answer-writer.js';
import { NO_BODY } from './body-reader.js';
import type { CallerConnection } from './caller-connection.js';
import { forwardedRequestHeaders } from './header-rules.js';
import { type AnswerPlace, answerPlaceOf } from './known-answers.js';
import type { RejectedRequestError } from './rejected-request-errors.js';
import type { CallerRequestHead } from './request-head.js';

/** An answer that the router generates itself. */
export interface RouterAnswer {
  readonly status: number;
  readonly outcome: Outcome;
  readonly reason: RefusalReason | RejectedRequestError['reason'];
  readonly retryAfterMillis: number | null;
  readonly message?: string;
}

const FAULT_MESSAGES: Readonly<Record<RequestFault, string>> = {
  malformed: 'the request is malformed',
  'header-too-large': 'the header is too large',
  'too-slow': 'the request did not come whole in time',
};
/** Statuses without a body; a response that was to have one of them can't carry another. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
/** Replaces an answer that failed after its upstream had started it, but before any of it was written. Its result is unknown. */
const ANSWER_BROKEN: RouterAnswer = {
  status: 502,
  outcome: 'unknown',
  reason: 'upstream-failed',
  retryAfterMillis: null,
};
/** How long an answer that may break off is held for others that only wait behind it, or may still come. */
const MAX_HELD_MILLIS = 1000;
/** Answers up to this size are written at once, since the socket's buffer holds them. */
const LARGE_ANSWER_BYTES = 16 * 1024;
/** Methods without effects (RFC 9110, 9.2.1). */
const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'TRACE']);
/** Reason sent with a stored answer whose body was too large to store. */
const BODY_NOT_STORED = 'answer-not-kept';

/** Whether `Retry-After` is rounded up to whole seconds, as RFC 9110 requires, or has milliseconds as a fraction. */
export type RetryAfterUnit = 'whole-seconds' | 'fractions';

/** The HTTP request and response of an exchange, and the unit of `Retry-After` in its rejections. */
export interface CallerStreams {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly retryAfterUnit: RetryAfterUnit;
}

/** Why an answer was aborted. */
export type AbortReason = 'upstream-broke' | 'caller-stalled' | 'unwritable' | 'stop-ended';

/**
 * Why 502 replaced an upstream's answer of which nothing was written: its head can't be written, its caller couldn't tell its end, others run
 * behind it and there is no room to hold it until it is whole, or the time of a planned stop is over before it was.
 */
export type ReplaceReason = 'unwritable' | 'needs-length' | 'no-room' | 'stop-ended';

/**
 * Why a request has no whole answer: its own answer or one in front of it was aborted, its connection was closed, by its caller or by a limit, or the
 * grace time of a planned stop is over.
 */
export type UnansweredCause = 'answer-broken' | 'connection-closed' | 'stop-ended';

export class CallerExchange {
  /** Time when the head arrived, on the monotonic clock. */
  readonly arrivedAt = performance.now();
  /** Where answers are alike. */
  readonly answerPlace: AnswerPlace;
  /** Whether the answer is expected to be read whole before any of it is written. */
  isExpectedWhole = false;
  /** Whether it came so late in a planned stop that it is refused. */
  isLate = false;
  private answerStarted = false;
  private answerWhole = false;
  private begun = false;
  private answerBytes = 0;
  /** Whether there is room to hold an answer that is written in pieces until it is whole, as far as its size is known. */
  private fitsToBeHeld = false;
  /** Ends the time for which the answer is held for those that wait behind it. */
  private holdTimer: NodeJS.Timeout | undefined;
  private writer: AnswerWriter | null = null;
  /** Writes an answer that waits for those in front of it. */
  private writeWaiting: (() => void) | null = null;
  private ended = false;
  private aborted = false;
  private received: Buffer | null = null;

  constructor(
    readonly number: RequestNumber,
    readonly head: CallerRequestHead,
    private readonly streams: CallerStreams,
    readonly connection: CallerConnection,
  ) {
    this.answerPlace = answerPlaceOf(head.place?.host ?? '', head.place?.path ?? head.target);
  }

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

  /** Sets the body once it has arrived whole. */
  setBody(body: Buffer): void {
    this.received = body;
  }

  get isWhole(): boolean {
    return this.received !== null;
  }

  get body(): Buffer {
    return this.received ?? NO_BODY;
  }

  /** Whether requests behind it may run: its answer is whole in the router, or is expected to be before any of it is written. */
  get allowsBehind(): boolean {
    return this.answerWhole || (this.isExpectedWhole && this.writer === null);
  }

  get bodyBytes(): number {
    return this.body.length;
  }

  /** Whether the answer was written whole or can't be written any more. */
  get isEnded(): boolean {
    return this.ended;
  }

  /** Why the request has no whole answer once its response has closed; `null` if all of its answer left the process. */
  get unansweredCause(): UnansweredCause | null {
    if (this.response.writableFinished) {
      return null;
    }
    return this.aborted ? 'answer-broken' : 'connection-closed';
  }

  /** Time left until the caller's deadline, if it sent one. Time spent behind other requests of the connection counts. */
  get remainingMillis(): number | null {
    const { deadlineMillis } = this.head;
    if (deadlineMillis === null) {
      return null;
    }
    return deadlineMillis - Math.floor(performance.now() - this.arrivedAt);
  }

  /** Headers for the upstream, without the router's internal ones. */
  forwardedHeaders(): string[] {
    return forwardedRequestHeaders(this.request.rawHeaders);
  }

  /** Whether the request has its answer, of which nothing may be written yet. */
  get answered(): boolean {
    return this.answerStarted;
  }

  /** Whether the answer is whole in the router. */
  get isAnswerWhole(): boolean {
    return this.answerWhole;
  }

  /** Whether writing of the answer has begun. */
  get hasBegun(): boolean {
    return this.begun;
  }

  /** Whether the caller supports chunked encoding, and so can tell the end of an answer without a length from a broken connection. */
  get supportsChunkedEncoding(): boolean {
    return this.request.httpVersion !== '1.0';
  }

  /** Whether the answer is the last one of the connection. */
  get closesConnection(): boolean {
    return !this.response.shouldKeepAlive;
  }

  set closesConnection(closes: boolean) {
    this.response.shouldKeepAlive = !closes;
  }

  /** Sends an upstream's answer that was read whole. */
  sendWholeAnswer(status: number, headers: string[], body: Buffer): void {
    this.connection.recordWhole(this, status, body.length);
    if (body.length > LARGE_ANSWER_BYTES) {
      const writer = this.createWriter(status, headers);
      this.answerWhole = true;
      this.startWriterAtFront();
      writer.write(body);
      writer.end();
      return;
    }
    this.startAnswer(body.length, () => {
      this.response.writeHead(status, headers);
      this.response.end(body);
    });
  }

  /** Starts an answer of about `bytes` that is written in pieces, and returns its writer. */
  startStream(status: number, headers: string[], bytes: number): AnswerWriter {
    this.connection.recordStreamed(this, bytes);
    this.fitsToBeHeld = this.connection.hasCapacityFor(bytes);
    this.holdTimer = setTimeout(() => this.endHold(), MAX_HELD_MILLIS).unref();
    const writer = this.createWriter(status, headers);
    this.startWriterAtFront();
    return writer;
  }

  /** Called when the request becomes the first of its connection. */
  onReachedFront(): void {
    this.writeAtFront();
    this.startWriterAtFront();
    this.writer?.checkBlocked();
  }

  /** Sends an answer stored in the ledger. */
  sendStoredAnswer(answer: StoredAnswer): void {
    const body = Buffer.from(answer.body, 'base64');
    const headers = [HEADERS.outcome, 'ran', 'content-length', String(body.length)];
    if (answer.contentType !== '') {
      headers.push('content-type', answer.contentType);
    }
    if (answer.truncated) {
      headers.push(HEADERS.reason, BODY_NOT_STORED);
    }
    this.sendWholeAnswer(answer.status, headers, body);
  }

  /** Aborts the answer. The caller's connection closes once the requests in front are answered. */
  abort(reason: AbortReason): void {
    this.answerStarted = true;
    this.aborted = true;
    this.writeWaiting = null;
    this.writer?.close();
    this.connection.onAborted(this, reason);
    if (reason === 'caller-stalled') {
      this.response.destroy();
      return;
    }
    endConnectionAt(this.response, () => this.connection.onResponseClosed(this));
  }

  /** Replaces an upstream's answer that is held, if it isn't whole: the planned stop is at its end. One with nothing behind it begins. */
  endHeld(): void {
    this.startWriterAtFront();
    if (this.writer?.hasStarted === false && !this.answerWhole) {
      this.replace('stop-ended');
    }
  }

  /** Aborts an answer that is being written and isn't whole: the process ends before it could be. */
  endStreamed(): void {
    if (this.begun && !this.answerWhole && !this.ended) {
      this.abort('stop-ended');
    }
  }

  /** Sends 502 in place of an upstream's answer of which nothing was written. */
  replace(reason: ReplaceReason): void {
    this.connection.onReplaced(this, reason);
    const { writer } = this;
    this.writer = null;
    writer?.close();
    this.connection.hold(-this.answerBytes);
    this.sendRouterAnswer(ANSWER_BROKEN);
  }

  /** Sends a rejection and accepts no more requests on the connection. */
  reject(answer: RouterAnswer): void {
    this.closesConnection = true;
    this.connection.close();
    this.sendRouterAnswer(answer);
  }

  /** Sends an answer that the router generates itself. */
  sendRouterAnswer(answer: RouterAnswer): void {
    this.startAnswer(0, () => writeRouterAnswer(this.response, answer, this.streams.retryAfterUnit));
  }

  /** Called when the answer was written whole, or can't be written any more. Returns `false` if the exchange had already ended. */
  end(): boolean {
    if (this.ended) {
      return false;
    }
    this.ended = true;
    clearTimeout(this.holdTimer);
    this.writeWaiting = null;
    this.writer?.close();
    if (this.answerBytes > 0) {
      this.connection.hold(-this.answerBytes);
    }
    return true;
  }

  /** Takes a whole answer, which `write` writes once those in front of it are written: only then is known whether it is the last. */
  private startAnswer(answerBytes: number, write: () => void): void {
    this.answerStarted = true;
    this.answerBytes = answerBytes;
    this.connection.hold(answerBytes);
    this.writeWaiting = write;
    if (this.connection.isStopping) {
      // It may close the connection, so what else came with its request is parsed first.
      queueMicrotask(() => this.writeAtFront());
    } else {
      this.writeAtFront();
    }
    this.onAnswerWhole();
  }

  private createWriter(status: number, headers: string[]): AnswerWriter {
    this.answerStarted = true;
    const writer = new AnswerWriter({
      response: this.response,
      status,
      headers,
      account: this.connection,
      onBroken: (started) => this.onStreamBroken(started),
      onWhole: () => this.onAnswerWhole(),
      onBlocked: () => this.onNoRoom(writer),
    });
    this.writer = writer;
    return writer;
  }

  private onAnswerWhole(): void {
    this.answerWhole = true;
    this.startWriterAtFront();
    this.connection.onAnswerWhole();
  }

  /**
   * An answer that breaks off ends the connection, so none begins that isn't whole while others run behind it, nor, if there is room to hold it,
   * while others were read or are expected, for `MAX_HELD_MILLIS`.
   */
  private mayBegin(): boolean {
    const { connection } = this;
    if (!connection.isAtFront(this)) {
      return false;
    }
    const isAlone = !(connection.hasBehind(this) || connection.expectsBehind(this));
    return this.answerWhole || isAlone || !(connection.runsBehind(this) || this.fitsToBeHeld);
  }

  /** An answer may take long, or have no end. A planned stop has one, and those behind are answered then. */
  private endHold(): void {
    const { connection } = this;
    if (this.ended || this.aborted || (connection.isStopping && connection.hasBehind(this))) {
      return;
    }
    this.fitsToBeHeld = false;
    this.startWriterAtFront();
  }

  /**
   * There is no room to hold an answer that may not begin before it is whole. Where others run behind it, it is replaced, so that they are answered
   * whatever becomes of it. A planned stop breaks off no answer that its upstream is sending, so it begins then.
   */
  private onNoRoom(writer: AnswerWriter): void {
    if (this.writer !== writer || !this.connection.isAtFront(this)) {
      return;
    }
    if (this.connection.isStopping || !this.connection.runsBehind(this)) {
      this.begin(true, () => writer.start());
    } else {
      this.replace('no-room');
    }
  }

  private writeAtFront(): void {
    const write = this.writeWaiting;
    if (write === null || !this.connection.isAtFront(this)) {
      return;
    }
    this.writeWaiting = null;
    this.begin(false, write);
  }

  private startWriterAtFront(): void {
    const { writer } = this;
    if (writer !== null && !writer.hasStarted && this.mayBegin()) {
      this.begin(true, () => writer.start());
    }
  }

  private begin(isStreamed: boolean, write: () => void): void {
    this.begun = true;
    this.connection.onAnswerBegins(this, isStreamed);
    try {
      write();
    } catch (thrown) {
      this.connection.onUnwritable(this, toError(thrown));
      this.replaceUnwritable();
    }
  }

  private replaceUnwritable(): void {
    const { headersSent, statusCode } = this.response;
    if (headersSent || BODILESS_STATUSES.has(statusCode)) {
      this.abort('unwritable');
    } else {
      this.replace('unwritable');
    }
  }

  private onStreamBroken(started: boolean): void {
    this.writer = null;
    if (started) {
      this.abort('upstream-broke');
    } else {
      this.sendRouterAnswer(ANSWER_BROKEN);
    }
  }
}

/**
 * Ends the connection in place of an answer, or in the midst of it, once those in front of it are sent; `ended` is called then. What its caller
 * hasn't taken yet is still delivered, which a connection that is destroyed may lose.
 */
export function endConnectionAt(response: ServerResponse, ended: () => void = () => {}): void {
  const end = (socket: Socket): void => {
    socket.destroySoon();
    ended();
  };
  if (response.socket === null) {
    response.once('socket', end);
  } else {
    end(response.socket);
  }
}

/** Describes a message that is not a valid request. No part of it reached an upstream. */
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

/** Returns whole seconds, at least one, or seconds with three decimal places. */
export function retryAfterSeconds(millis: number, unit: RetryAfterUnit = 'whole-seconds'): number {
  return unit === 'fractions' ? Math.ceil(millis) / 1000 : Math.max(1, Math.ceil(millis / 1000));
}

export function writeRouterAnswer(
  response: ServerResponse,
  answer: RouterAnswer,
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
