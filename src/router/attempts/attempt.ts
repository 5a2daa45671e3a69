/**
 * One attempt of a request on an upstream. Its answer is read whole up to a bound and only then reported; a longer one
 * is reported with its head and then streamed. A connection on which an answer is still owed is closed, never used again.
 */
import type { Dispatcher, Pool } from 'undici';
import type { UpstreamId } from '../../model/identifiers.js';
import type { AttemptNumber, AttemptResult, RouterEffect } from '../../routing/types.js';
import type { CallerExchange } from '../caller/caller-exchange.js';
import { forwardedAnswerHeaders } from '../caller/header-rules.js';
import type { HeldBytes } from '../caller/held-bytes.js';
import { isPersonal } from '../caller/request-variant.js';
import { type AnswerHead, announcedLength } from './answer-head.js';
import { AnswerStream } from './answer-stream.js';
import { AttemptAbortedError, type AttemptFailure } from './attempt-error.js';
import { classifyBreak } from './classify-break.js';
import type { ConnectionResets } from './connection-resets.js';
import { ConnectionTurnedAwayError } from './settled-connector.js';
import { storedAnswerOf } from './stored-answer.js';
import type { UpstreamProtocol } from './upstream-protocol.js';

export type DispatchEffect = Extract<RouterEffect, { readonly type: 'dispatch' }>;

export interface AttemptOptions {
  readonly effect: DispatchEffect;
  readonly exchange: CallerExchange;
  /** Unique among the attempts of all routers. */
  readonly attemptId: string;
  readonly protocol: UpstreamProtocol;
  /** Bound of answers kept for resends; `null`: keep none. */
  readonly storedAnswerBytes: number | null;
  readonly held: HeldBytes;
  readonly resets: ConnectionResets;
  /** Called with the head of each answer of the run that the attempt is for: what another one at its address says is of that one. */
  readonly headed: (attempt: AttemptNumber, head: AnswerHead) => void;
  /** A whole body came in, from its head to its last byte in `millis`; `null`: nobody counts them. */
  readonly carried: ((bytes: number, millis: number) => void) | null;

  /** Called once, never during `start`. */
  readonly ended: (attempt: AttemptNumber, result: AttemptResult) => void;
}

type Phase = 'waiting' | 'sent' | 'reported';

/** Answers up to this size are read whole even where much is held. */
const SMALL_ANSWER_BYTES = 16 * 1024;

export class Attempt implements Dispatcher.DispatchHandlers {
  private phase: Phase = 'waiting';
  private head: AnswerHead | null = null;
  private chunks: Buffer[] = [];
  /** Bytes of the chunks that are kept here. */
  private size = 0;
  private receivedBytes = 0;
  private headAt = 0;
  private complete = false;
  private stream: AnswerStream | null = null;
  private abortRequest: ((error: Error) => void) | null = null;
  private abortedFor: AttemptFailure | null = null;
  private resume: () => void = () => {};

  constructor(private readonly options: AttemptOptions) {}

  get upstream(): UpstreamId {
    return this.options.effect.upstream;
  }

  /** Whether the upstream's whole answer is here. */
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

  /** Gives the attempt up if it waits for a connection: nothing was sent. */
  recall(): void {
    if (this.phase === 'waiting' && this.abortedFor === null) {
      this.abortedFor = 'recalled';
      this.report({ type: 'connect-failed', recalled: true });
    }
  }

  /** Gives the attempt up; the upstream sees its connection close. */
  cancel(): void {
    this.abort('cancelled');
  }

  /** Gives the answer, or the stream of it, to a caller. Only after `answered` was reported. */
  deliver(exchange: CallerExchange): void {
    const head = this.head as AnswerHead;
    const headers = forwardedAnswerHeaders(head.headers);
    if (this.complete) {
      const body = joined(this.chunks);
      if (head.isUnframed) {
        exchange.answerUnframed(head.status, headers, body);
        return;
      }
      exchange.answerWhole(head.status, withLength(headers, head, body, exchange.head.method), body);
      return;
    }
    if (head.contentLength === null && !exchange.takesChunks) {
      exchange.breakOff('needs-length');
      return;
    }
    const bytes = head.contentLength ?? this.size;
    this.stream?.add(exchange.startStream(head.status, headers, bytes));
  }

  /** Lets a streamed answer flow to those it was delivered to. */
  flow(): void {
    this.stream?.start(this.chunks);
    this.release();
  }

  /** Lets go of what was read: it was given to callers, or nobody wants it. */
  release(): void {
    const bytes = this.size;
    this.size = 0;
    this.chunks = [];
    this.options.held.change(-bytes);
  }

  onConnect(abort: (error?: Error) => void): void {
    if (this.phase !== 'waiting') {
      abort(new AttemptAbortedError('sent-twice'));
      return;
    }
    if (this.abortedFor !== null) {
      abort(new AttemptAbortedError(this.abortedFor));
      return;
    }
    this.phase = 'sent';
    this.abortRequest = abort;
  }

  onHeaders(status: number, rawHeaders: Buffer[], resume: () => void): boolean {
    if (status < 200) {
      return true;
    }
    const headers = rawHeaders.map((part) => part.toString('latin1'));
    this.resume = resume;
    this.headAt = this.options.carried === null ? 0 : performance.now();
    const { protocol } = this.options;
    if (!protocol.isAnswerTo(this.options, headers)) {
      this.abort('other-request-id');
      return false;
    }
    const length = announcedLength(this.options.exchange.head.method, status, headers);
    if (length === undefined && !protocol.takesUnframed) {
      this.abort('no-length');
      return false;
    }
    const contentLength = typeof length === 'number' ? length : null;
    this.head = { status, headers, contentLength, isUnframed: length === undefined };
    if (protocol.refusalOf(this.head)?.refusal !== 'other-incarnation') {
      this.options.headed(this.options.effect.attempt, this.head);
    }
    return contentLength === null || this.mayReadWhole(contentLength) || this.beginStream();
  }

  onData(chunk: Buffer): boolean {
    this.receivedBytes += chunk.length;
    // With the last byte the upstream is done. Where reading rests there, the close of its connection would seem to cut the answer off.
    const isLast = this.receivedBytes === this.head?.contentLength;
    if (this.stream !== null) {
      return this.stream.write(chunk) || isLast;
    }
    this.chunks.push(chunk);
    this.size += chunk.length;
    this.options.held.change(chunk.length);
    return isLast || this.mayReadWhole(this.size) || this.beginStream();
  }

  onComplete(): void {
    if (this.options.resets.isFailing) {
      this.onError(new AttemptAbortedError('reset'));
      return;
    }
    this.options.carried?.(this.receivedBytes, performance.now() - this.headAt);
    if (this.stream !== null) {
      this.stream.end();
      return;
    }
    this.complete = true;
    this.report(this.wholeResult());
  }

  onError(error: Error): void {
    if (this.stream !== null) {
      this.stream.breakOff();
      return;
    }
    if (this.abortedFor === 'cancelled') {
      this.report({ type: this.phase === 'waiting' ? 'connect-failed' : 'cancelled' });
      return;
    }
    if (this.phase !== 'waiting') {
      this.report({ type: 'broken', how: classifyBreak(error) });
      return;
    }
    const turnedAway = error instanceof ConnectionTurnedAwayError;
    const refused = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
    this.report({ type: 'connect-failed', turnedAway, refused });
  }

  /** Reports the head of an answer that is too long to read whole, and holds back its rest until it is delivered. */
  private beginStream(): boolean {
    this.stream = new AnswerStream({
      resume: () => this.resume(),
      abandoned: () => this.abort('no-reader'),
    });
    this.report(this.answeredResult(null));
    return false;
  }

  /** What the ledger keeps is read whole in any case. */
  private mayReadWhole(bytes: number): boolean {
    const { effect, held, storedAnswerBytes } = this.options;
    if (bytes > effect.wholeAnswerBytes) {
      return false;
    }
    return bytes <= SMALL_ANSWER_BYTES || storedAnswerBytes !== null || held.hasFree(bytes);
  }

  private wholeResult(): AttemptResult {
    const head = this.head as AnswerHead;
    const { storedAnswerBytes } = this.options;
    const body = storedAnswerBytes === null ? null : joined(this.chunks);
    const refusal = this.options.protocol.refusalOf(head);
    if (refusal !== null) {
      return { ...refusal, load: this.options.protocol.loadOf(head.headers) };
    }
    return this.answeredResult(body);
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
    if (this.complete || this.abortedFor !== null) {
      return;
    }
    this.abortedFor = failure;
    if (this.phase === 'waiting') {
      // It waits for a connection and was never sent; `onConnect` will turn the connection away.
      this.report({ type: 'connect-failed' });
      return;
    }
    this.abortRequest?.(new AttemptAbortedError(failure));
  }
}

/** Most answers come in one piece, which needs no copy. */
function joined(chunks: readonly Buffer[]): Buffer {
  const [first] = chunks;
  return first !== undefined && chunks.length === 1 ? first : Buffer.concat(chunks);
}

/** The length of an answer that came in chunks is known once it is whole. */
function withLength(headers: string[], head: AnswerHead, body: Buffer, method: string): string[] {
  if (head.contentLength !== null || method === 'HEAD') {
    return headers;
  }
  return [...headers, 'content-length', String(body.length)];
}
