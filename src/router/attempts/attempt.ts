/**
 * One attempt of a request on an upstream. An answer up to a bound is read whole before it is reported; a longer one
 * is reported with its head and then streamed. A connection with an outstanding answer is closed, never reused.
 */
import type { Dispatcher, Pool } from 'undici';
import type { UpstreamId } from '../../model/identifiers.js';
import type { AttemptNumber, AttemptResult, RouterEffect } from '../../routing/types.js';
import { JoinedPieces } from '../../wire/http/joined-pieces.js';
import { isFinalStatus } from '../../wire/http/status.js';
import type { CallerExchange } from '../caller/caller-exchange.js';
import { forwardedAnswerHeaders, withoutHeaders } from '../caller/header-rules.js';
import type { HeldBytes } from '../caller/held-bytes.js';
import { isPersonal } from '../caller/request-variant.js';
import { type AnswerHead, bodyLength, NO_CONTENT, namesAbsentBody } from './answer-head.js';
import { AnswerStream } from './answer-stream.js';
import { AttemptAbortedError, type AttemptFailure, ConnectionResetError } from './attempt-error.js';
import { classifyBreak } from './classify-break.js';
import { connectFailure } from './connect-failure.js';
import type { ClientUser, ConnectionUse, ResettableClient } from './resettable-client.js';
import { StallTimer } from './stall-timer.js';
import { storedAnswerOf } from './stored-answer.js';
import type { UpstreamProtocol } from './upstream-protocol.js';

export type DispatchEffect = Extract<RouterEffect, { readonly type: 'dispatch' }>;

export interface AttemptOptions {
  readonly effect: DispatchEffect;
  readonly exchange: CallerExchange;
  /** Unique among the attempts of all routers. */
  readonly attemptId: string;
  readonly protocol: UpstreamProtocol;
  /** Largest answer stored for resends; `null` if answers aren't stored. */
  readonly storedAnswerBytes: number | null;
  readonly held: HeldBytes;
  /** The answer is broken off if no part of its body comes for this time. */
  readonly stallMillis: number;
  /** Called when the request is written to a connection. */
  readonly onConnected: (attempt: AttemptNumber, use: ConnectionUse | null) => void;
  /** Called with the head of an answer that carries another id than the request. */
  readonly onForeignAnswer: (attempt: AttemptNumber, head: Pick<AnswerHead, 'status' | 'headers'>) => void;
  /** Called with the head of the answer, unless it comes from another run at the address: its notices concern that run. */
  readonly onHead: (attempt: AttemptNumber, head: AnswerHead) => void;
  /** Called when a whole body was received; `millis` is the time from its head to its last byte. `null` if transfers aren't measured. */
  readonly onBodyReceived: ((bytes: number, millis: number) => void) | null;

  /** Called once, never during `start`, with the result of the attempt. */
  readonly ended: (attempt: AttemptNumber, result: AttemptResult) => void;
}

type Phase = 'waiting' | 'sent' | 'reported';

/** Longest time for which a streamed answer is read for a caller that named no deadline. */
const LONGEST_STREAM_MILLIS = 600_000;
/** How long after its caller's deadline a streamed answer is still read: the caller may count from later. */
const STREAM_OVERTIME_MILLIS = 1000;

/** Answers up to this size are read whole even if little memory for answers is free. */
const SMALL_ANSWER_BYTES = 16 * 1024;

export class Attempt implements Dispatcher.DispatchHandlers, ClientUser {
  private phase: Phase = 'waiting';
  private head: AnswerHead | null = null;
  /** Whether the end of the connection is the end of the answer. */
  private endsWithConnection = false;
  /** What was read and isn't delivered or streamed yet. */
  private readonly pieces = new JoinedPieces();
  /** Bytes of `pieces` before the stream starts. */
  private size = 0;
  /** Whether what was read in this turn is streamed at its end. */
  private isStreamingSoon = false;
  private receivedBytes = 0;
  private headReceivedAt = 0;
  private complete = false;
  private stream: AnswerStream | null = null;
  /** How long the stream may go on; the longest of its callers' times counts. */
  private streamMillis = 0;
  private abortRequest: ((error: Error) => void) | null = null;
  private abortReason: AttemptFailure | null = null;
  private client: ResettableClient | null = null;
  /** Whether the connection may carry another request, or none any more. */
  private isOver = false;
  private readonly stall: StallTimer;

  constructor(private readonly options: AttemptOptions) {
    this.stall = new StallTimer(options.stallMillis, () => this.abort('stalled'));
  }

  get upstream(): UpstreamId {
    return this.options.effect.upstream;
  }

  get sharedId(): string | null {
    return this.options.protocol.sharedIdOf(this.options);
  }

  /** Whether the whole answer was received. */
  get whole(): boolean {
    return this.complete;
  }

  start(pool: Pool): void {
    const { exchange, protocol } = this.options;
    pool.dispatch(
      {
        path: exchange.head.target,
        method: exchange.head.method as Dispatcher.HttpMethod,
        headers: protocol.requestHeaders(this.options),
        body: exchange.body.length > 0 ? exchange.body : null,
      },
      this,
    );
  }

  /** Aborts the attempt if it is waiting for a connection, so that nothing was sent. */
  recall(): void {
    if (this.phase === 'waiting' && this.abortReason === null) {
      this.abortReason = 'recalled';
      this.report({ type: 'connect-failed', recalled: true });
    }
  }

  onClient(client: ResettableClient): void {
    this.client = client;
  }

  /** Aborts the attempt and resets its connection to the upstream, so that nothing of it arrives there later. */
  cancel(): void {
    const mayReset = this.phase === 'sent' && !this.complete && this.abortReason === null;
    if (mayReset && this.client?.reset() === true) {
      this.abortReason = 'cancelled';
      return;
    }
    this.abort('cancelled');
  }

  /** Delivers the answer, or the stream of it, to a caller. Only valid after `answered` was reported. */
  deliver(exchange: CallerExchange): void {
    const head = this.head as AnswerHead;
    const headers = deliveredHeaders(head);
    if (this.complete) {
      const body = joinPieces(this.pieces.all);
      exchange.sendWholeAnswer(
        head.status,
        withContentLength(headers, head, body, exchange.head.method),
        body,
      );
      return;
    }
    if (head.contentLength === null && !exchange.supportsChunkedEncoding) {
      exchange.replace('needs-length');
      return;
    }
    this.streamMillis = Math.max(this.streamMillis, streamMillisFor(exchange));
    const bytes = head.contentLength ?? this.size;
    this.stream?.add(exchange.startStream(head.status, headers, bytes));
  }

  /** Starts streaming the answer to the callers that it was delivered to. */
  startStream(): void {
    this.stream?.start(this.pieces.all, this.streamMillis);
    this.release();
  }

  /** Drops the buffered pieces once they were delivered or aren't needed. */
  release(): void {
    const bytes = this.size;
    this.size = 0;
    this.pieces.clear();
    this.options.held.change(-bytes);
  }

  onConnect(abort: (error?: Error) => void): void {
    if (this.phase !== 'waiting') {
      abort(new AttemptAbortedError('sent-twice'));
      return;
    }
    if (this.abortReason !== null) {
      abort(new AttemptAbortedError(this.abortReason));
      return;
    }
    this.phase = 'sent';
    const use = this.client?.recordRequest(this.sharedId) ?? null;
    this.abortRequest = abort;
    this.options.onConnected(this.options.effect.attempt, use);
  }

  onHeaders(status: number, rawHeaders: Buffer[]): boolean {
    if (!isFinalStatus(status)) {
      // Interim answers were taken out before: what stands behind this head is no answer, or one whose own head nobody has checked.
      this.abort('malformed-head');
      return false;
    }
    this.client?.recordProgress();
    const headers = rawHeaders.map((part) => part.toString('latin1'));
    this.headReceivedAt = this.options.onBodyReceived === null ? 0 : performance.now();
    const { protocol } = this.options;
    if (!protocol.isAnswerTo(this.options, headers)) {
      this.options.onForeignAnswer(this.options.effect.attempt, { status, headers });
      this.abort('other-request-id');
      return false;
    }
    const length = bodyLength(this.options.exchange.head.method, status, headers);
    if (length === undefined && !protocol.acceptsUnframed) {
      this.abort('no-length');
      return false;
    }
    if (length === 'coded') {
      this.abort('coded-body');
      return false;
    }
    this.endsWithConnection = length === undefined;
    const contentLength = typeof length === 'number' ? length : null;
    this.head = { status, headers, contentLength };
    if (protocol.refusalOf(this.head)?.refusal !== 'other-incarnation') {
      this.options.onHead(this.options.effect.attempt, this.head);
    }
    if (namesAbsentBody(this.options.exchange.head.method, this.head)) {
      this.endWithHead();
      return false;
    }
    this.stall.start();
    if (contentLength !== null && !this.mayReadWhole(contentLength)) {
      this.beginStream();
    }
    return true;
  }

  onData(chunk: Buffer): boolean {
    this.client?.recordProgress();
    this.stall.refresh();
    this.receivedBytes += chunk.length;
    this.pieces.add(chunk);
    if (this.stream?.hasStarted === true) {
      this.streamSoon();
      return true;
    }
    this.size += chunk.length;
    this.options.held.change(chunk.length);
    const isLast = this.receivedBytes === this.head?.contentLength;
    if (this.stream === null && !isLast && !this.mayReadWhole(this.size)) {
      this.beginStream();
    }
    return true;
  }

  onComplete(): void {
    if (this.endsWithConnection && this.client?.hasSeenEnd !== true) {
      // The client takes some lost connections for the end of the answer.
      this.onError(new ConnectionResetError());
      return;
    }
    this.streamPieces();
    this.endReading();
    this.options.onBodyReceived?.(this.receivedBytes, performance.now() - this.headReceivedAt);
    if (this.stream !== null) {
      this.stream.end();
      return;
    }
    this.complete = true;
    this.report(this.wholeResult());
  }

  onError(error: Error): void {
    this.streamPieces();
    this.endReading();
    if (this.stream !== null) {
      this.stream.breakOff();
      return;
    }
    if (this.abortReason === 'cancelled') {
      this.report(
        this.phase === 'waiting' ? { type: 'connect-failed', cancelled: true } : { type: 'cancelled' },
      );
      return;
    }
    if (this.phase !== 'waiting') {
      this.report({ type: 'broken', how: classifyBreak(error) });
      return;
    }
    this.report(connectFailure(error));
  }

  /** The client would wait for the body that the head names, so its connection isn't used again. */
  private endWithHead(): void {
    this.onComplete();
    this.abortRequest?.(new AttemptAbortedError('no-body'));
  }

  /** Reports the head of an answer that is too long to read whole, and holds reading until it is delivered. A refusal isn't delivered. */
  private beginStream(): void {
    const refusal = this.refusal();
    if (refusal !== null) {
      this.report(refusal);
      this.abort('no-reader');
      return;
    }
    this.holdReading();
    this.stream = new AnswerStream({
      hasLength: this.head?.contentLength !== null,
      resume: () => this.releaseReading(),
      onAbandoned: () => this.abort('no-reader'),
      onEndless: () => this.abort('endless'),
    });
    this.report(this.answeredResult(null));
  }

  /** What one read brings is streamed in one piece, however many chunks it holds. */
  private streamSoon(): void {
    if (!this.isStreamingSoon) {
      this.isStreamingSoon = true;
      queueMicrotask(() => {
        this.isStreamingSoon = false;
        this.streamPieces();
      });
    }
  }

  /** Streams what was read, once the stream has started. */
  private streamPieces(): void {
    if (this.stream?.hasStarted !== true) {
      return;
    }
    for (const piece of this.pieces.take()) {
      if (!this.stream.write(piece)) {
        this.holdReading();
      }
    }
  }

  private holdReading(): void {
    this.stall.stop();
    this.client?.holdReading();
  }

  private releaseReading(): void {
    if (!this.isOver) {
      this.stall.start();
      this.client?.releaseReading();
    }
  }

  /** The connection is another attempt's from here on. */
  private endReading(): void {
    if (!this.isOver) {
      this.isOver = true;
      this.stall.stop();
      this.client?.releaseReading();
    }
  }

  /** Answers that may be stored in the ledger are read whole whatever memory is free. */
  private mayReadWhole(bytes: number): boolean {
    const { effect, held, storedAnswerBytes } = this.options;
    if (bytes > effect.wholeAnswerBytes) {
      return false;
    }
    return bytes <= SMALL_ANSWER_BYTES || storedAnswerBytes !== null || held.hasFreeBytes(bytes);
  }

  private wholeResult(): AttemptResult {
    const { storedAnswerBytes } = this.options;
    const body = storedAnswerBytes === null ? null : joinPieces(this.pieces.all);
    return this.refusal() ?? this.answeredResult(body);
  }

  /** The refusal that the answer means, with the load that it reports; `null` if the request may have run. */
  private refusal(): AttemptResult | null {
    const head = this.head as AnswerHead;
    const { protocol } = this.options;
    const refusal = protocol.refusalOf(head);
    return refusal === null ? null : { ...refusal, load: protocol.loadOf(head.headers) };
  }

  private answeredResult(body: Buffer | null): AttemptResult {
    const { status, headers, contentLength } = this.head as AnswerHead;
    const { storedAnswerBytes } = this.options;
    const stored =
      storedAnswerBytes === null ? null : storedAnswerOf(status, headers, body, storedAnswerBytes);
    const load = this.options.protocol.loadOf(headers);
    const bytes = contentLength ?? (this.stream === null ? this.size : null);
    return { type: 'answered', status, load, stored, personal: isPersonal(headers), bytes };
  }

  private report(result: AttemptResult): void {
    if (this.phase !== 'reported') {
      this.phase = 'reported';
      const { ended, effect } = this.options;
      queueMicrotask(() => ended(effect.attempt, result));
    }
  }

  private abort(failure: AttemptFailure): void {
    if (this.complete || this.abortReason !== null) {
      return;
    }
    this.abortReason = failure;
    if (this.phase === 'waiting') {
      // The request waits for a connection and was never sent; `onConnect` will abort it.
      this.report({ type: 'connect-failed', cancelled: failure === 'cancelled' });
      return;
    }
    this.abortRequest?.(new AttemptAbortedError(failure));
  }
}

/** How long an answer may be streamed to a caller, from now. */
function streamMillisFor({ remainingMillis }: CallerExchange): number {
  return remainingMillis === null
    ? LONGEST_STREAM_MILLIS
    : Math.max(0, remainingMillis) + STREAM_OVERTIME_MILLIS;
}

/** A 204 must not name a length (RFC 9110, 8.6): its caller might wait for the body. */
function deliveredHeaders({ status, headers }: AnswerHead): string[] {
  const forwarded = forwardedAnswerHeaders(headers);
  return status === NO_CONTENT ? withoutHeaders(forwarded, ['content-length']) : forwarded;
}

/** Most answers consist of one piece, which needs no copy. */
function joinPieces(pieces: readonly Buffer[]): Buffer {
  const [first] = pieces;
  return first !== undefined && pieces.length === 1 ? first : Buffer.concat(pieces);
}

/** Adds `content-length` to an answer that had none and was received whole: its end must show, whatever becomes of this router. */
function withContentLength(headers: string[], head: AnswerHead, body: Buffer, method: string): string[] {
  if (head.contentLength !== null || method === 'HEAD') {
    return headers;
  }
  return [...headers, 'content-length', String(body.length)];
}
