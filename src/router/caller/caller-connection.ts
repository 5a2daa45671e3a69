/** One connection of a caller with its pipelined requests. */
import type { Socket } from 'node:net';
import { SocketPause } from '../../wire/http/socket-pause.js';
import type { BufferAccount } from './answer-writer.js';
import type { AbortReason, CallerExchange, ReplaceReason, UnansweredCause } from './caller-exchange.js';
import type { HeldBytes } from './held-bytes.js';
import type { KnownAnswers } from './known-answers.js';
import type { PausedConnection, PausedConnections } from './paused-connections.js';
import { type PipelineLimits, PipelineOrder, type SocketReadMode } from './pipeline-order.js';

export interface CallerConnectionOptions {
  readonly limits: PipelineLimits;
  readonly held: HeldBytes;
  readonly paused: PausedConnections;
  readonly known: KnownAnswers;
  /** Whether a planned stop is in progress. */
  readonly isStopping: () => boolean;
  /** An answer on which no bytes pass for this time is aborted. */
  readonly stallMillis: number;
  /** Called when the answer of a request is about to be written. */
  readonly begins: (exchange: CallerExchange) => void;
  /** Called when a request may run. */
  readonly dispatch: (exchange: CallerExchange) => void;
  /** Called when the answer of a request was written whole (`unanswered` is `null`), or can't be written any more. */
  readonly ended: (
    exchange: CallerExchange,
    wasDispatched: boolean,
    unanswered: UnansweredCause | null,
  ) => void;
  /** Called when 502 replaces an upstream's answer that can't be written. */
  readonly replaced: (exchange: CallerExchange, reason: ReplaceReason) => void;
  /** Called when the head of an upstream's answer can't be written. */
  readonly unwritable: (exchange: CallerExchange, error: Error) => void;
  /** Called when an answer is aborted, with the number of requests lost behind it. */
  readonly broken: (exchange: CallerExchange, reason: AbortReason, lostBehind: number) => void;
}

/** How long requests still run behind one that would close the connection: a caller that pipelines on and on must not hold up a stop. */
const MAX_CLOSE_DELAY_MILLIS = 1500;

/** Statuses below are successes. */
const FIRST_REDIRECT = 300;

export class CallerConnection implements BufferAccount, PausedConnection {
  readonly #options: CallerConnectionOptions;
  readonly #socket: Socket;
  readonly #order: PipelineOrder<CallerExchange>;
  readonly #pause: SocketPause;
  /** When a request was first read whose answer closes the connection unless another request comes behind it. */
  #closesSince: number | null = null;
  /** Whether a request was ever read before those in front of it were answered. */
  #isPipelined = false;

  constructor(socket: Socket, options: CallerConnectionOptions) {
    this.#options = options;
    this.#socket = socket;
    this.#order = new PipelineOrder(options.limits);
    this.#pause = new SocketPause(socket);
    socket.on('timeout', () => this.#onTimeout());
    socket.once('close', () => this.#onClosed());
  }

  /** Number of requests that were read and aren't answered whole. */
  get size(): number {
    return this.#order.size;
  }

  /** Whether reading of the socket is paused. */
  get isPaused(): boolean {
    return this.#pause.isPaused;
  }

  /** Whether a request that was just read is accepted. Requests behind an answer that closes the connection are ignored. */
  acceptsRequests(): boolean {
    if (!this.#order.isClosing && !this.#socket.writableEnded) {
      return true;
    }
    this.#order.recordIgnored();
    this.#updateReading();
    return false;
  }

  /** Whether the next request comes so late in a planned stop that it is refused: others are in front of it, and the connection was to close long ago. */
  get isOverdue(): boolean {
    const since = this.#closesSince;
    return this.#order.size > 0 && since !== null && performance.now() - since > MAX_CLOSE_DELAY_MILLIS;
  }

  /** The last request, if its body is still coming. */
  get incomplete(): CallerExchange | undefined {
    const { last } = this.#order;
    return last === undefined || last.isWhole || last.answered ? undefined : last;
  }

  /** Adds the next request, whose body may not have arrived yet. */
  add(exchange: CallerExchange): void {
    this.#keepOpenBehindLast();
    if (exchange.closesConnection) {
      this.#closesSince ??= performance.now();
    }
    this.#isPipelined ||= this.#order.size > 0;
    this.#order.add(exchange);
    if (this.#order.front?.hasBegun === true) {
      this.#startStallTimeout();
    }
  }

  /** Called when the body of a request has arrived. The request is dispatched as soon as its place in the order allows it. */
  complete(exchange: CallerExchange): void {
    this.#order.complete(exchange);
    this.#dispatchPending();
  }

  /** Called when the next request is rejected by its head, which closes the connection. Requests that were read before are still answered. */
  closeBehindLast(): void {
    this.#keepOpenBehindLast();
    this.#order.close();
  }

  /** Accepts no more requests. Requests that were read before are still answered. */
  close(): void {
    this.#order.close();
  }

  /**
   * Closes the connection with the answer to the last request that was read. One whose head has promised that the connection stays open can't close
   * it: what comes behind is still accepted.
   */
  closeWithLast(): void {
    const { last } = this.#order;
    if (this.#order.isClosing || last?.hasBegun === true) {
      return;
    }
    if (last !== undefined) {
      last.closesConnection = true;
    }
    this.#order.close();
  }

  /** Marks the answer of a request as closing the connection. Ends the requests behind it and returns their number. */
  #closeAfter(exchange: CallerExchange, cause: UnansweredCause): number {
    const lastDispatched = this.#order.lastDispatched;
    const lost = this.#order.closeAfter(exchange);
    const dispatchedCount = lastDispatched === undefined ? 0 : lost.indexOf(lastDispatched) + 1;
    for (const [index, behind] of lost.entries()) {
      this.#endExchange(behind, index < dispatchedCount, cause);
    }
    return lost.length;
  }

  /** Called when an answer is aborted, and the connection with it. */
  onAborted(exchange: CallerExchange, reason: AbortReason): void {
    this.#options.broken(exchange, reason, this.#closeAfter(exchange, 'answer-broken'));
  }

  isAtFront(exchange: CallerExchange): boolean {
    return this.#order.front === exchange;
  }

  /** Whether a request of the connection was handed on. */
  wasDispatched(exchange: CallerExchange): boolean {
    return this.#order.wasDispatched(exchange);
  }

  /** Whether others were handed on behind a request. */
  runsBehind(exchange: CallerExchange): boolean {
    return this.#order.lastDispatched !== exchange;
  }

  /** Whether others were read behind a request. */
  hasBehind(exchange: CallerExchange): boolean {
    return this.#order.last !== exchange;
  }

  /** Whether others are expected behind a request before it is answered, since the caller has sent some so before. */
  expectsBehind(exchange: CallerExchange): boolean {
    return this.#isPipelined && !exchange.closesConnection && !this.#order.isClosing && !this.isStopping;
  }

  /** Whether a planned stop is in progress. */
  get isStopping(): boolean {
    return this.#options.isStopping();
  }

  /** Called with an upstream's answer that was received whole. What a failure is like says nothing of the answers of its place. */
  recordWhole(exchange: CallerExchange, status: number, bytes: number): void {
    if (status < FIRST_REDIRECT) {
      this.#options.known.recordWhole(exchange.answerPlace, performance.now());
    }
    this.#order.recordAnswerSize(bytes);
  }

  /** Called with an upstream's answer that is longer than is read whole. */
  recordStreamed(exchange: CallerExchange, bytes: number): void {
    this.#options.known.recordStreamed(exchange.answerPlace, performance.now());
    this.#order.recordAnswerSize(bytes);
  }

  /** Called when an answer is whole in the router. What may run behind it is dispatched after this turn. */
  onAnswerWhole(): void {
    queueMicrotask(() => this.#dispatchPending());
  }

  onReplaced(exchange: CallerExchange, reason: ReplaceReason): void {
    this.#options.replaced(exchange, reason);
  }

  onUnwritable(exchange: CallerExchange, error: Error): void {
    this.#options.unwritable(exchange, error);
  }

  hold(bytes: number): void {
    this.#order.hold(bytes);
    this.#options.held.change(bytes);
    if (bytes < 0 && this.#pause.isPaused) {
      this.#updateReading();
    }
  }

  hasCapacity(): boolean {
    return this.#options.held.hasCapacity(this.#order.heldBytes);
  }

  hasCapacityFor(bytes: number): boolean {
    return this.#options.held.hasCapacityFor(this.#order.heldBytes, bytes);
  }

  waitForRelease(wake: () => void): void {
    this.#options.held.waitForRelease(wake);
  }

  cancelWait(wake: () => void): void {
    this.#options.held.cancelWait(wake);
  }

  /**
   * Called when the answer in front is about to be written. If it belongs to the last request that was read, and that one closes the
   * connection, no more are accepted. During a planned stop it does so whenever that request was read.
   */
  onAnswerBegins(exchange: CallerExchange, isStreamed: boolean): void {
    if (isStreamed || this.#order.size > 1) {
      this.#startStallTimeout();
    }
    const { last } = this.#order;
    if (last === exchange && this.isStopping && !this.#order.isClosing) {
      exchange.closesConnection = true;
    }
    if (last === exchange && exchange.closesConnection) {
      this.#order.close();
    }
    this.#options.begins(exchange);
  }

  /** Called when the response of a request has closed. */
  onResponseClosed(exchange: CallerExchange): void {
    if (this.#socket.destroyed) {
      this.#onClosed();
      return;
    }
    this.#order.remove(exchange);
    this.#endExchange(exchange, true, exchange.unansweredCause);
    const front = this.#order.front;
    if (front !== undefined) {
      this.#onFrontChanged(front);
    }
    this.#dispatchPending();
  }

  look(): void {
    if (this.#order.readMode === 'look') {
      this.#pause.resume();
    }
  }

  /** When a planned stop closes a connection, only the answer to its last request has `connection: close`. */
  #keepOpenBehindLast(): void {
    const { last } = this.#order;
    if (last?.closesConnection === true) {
      last.closesConnection = false;
    }
  }

  /** Ends all requests, since a closed socket can't carry an answer. */
  #onClosed(): void {
    this.#options.paused.remove(this);
    const front = this.#order.front;
    if (front !== undefined) {
      this.#closeAfter(front, 'connection-closed');
      const wasDispatched = this.#order.lastDispatched === front;
      this.#order.remove(front);
      this.#endExchange(front, wasDispatched, front.unansweredCause);
    }
  }

  /** Called when a request becomes the first of the connection. */
  #onFrontChanged(front: CallerExchange): void {
    this.#socket.setTimeout(0);
    front.onReachedFront();
    if (front.hasBegun) {
      this.#startStallTimeout();
    }
  }

  /** Aborts the answer in front if no bytes pass on the connection for `stallMillis`. */
  #startStallTimeout(): void {
    this.#socket.setTimeout(this.#options.stallMillis);
  }

  #onTimeout(): void {
    if (this.#order.front?.hasBegun === true) {
      this.#order.front.abort('caller-stalled');
    }
  }

  /** Nothing is dispatched whose answer can't be written: its caller was told that its request is malformed or came too slowly. */
  #dispatchPending(): void {
    if (this.#socket.writableEnded || this.#socket.destroyed) {
      return;
    }
    for (let next = this.#order.dispatchNext(); next !== undefined; next = this.#order.dispatchNext()) {
      next.isExpectedWhole = this.#options.known.isSmall(next.answerPlace, performance.now());
      this.#options.dispatch(next);
    }
    this.#updateReading();
  }

  #endExchange(exchange: CallerExchange, wasDispatched: boolean, unanswered: UnansweredCause | null): void {
    if (exchange.end()) {
      this.#options.ended(exchange, wasDispatched, unanswered);
    }
  }

  #updateReading(): void {
    if (this.#socket.writableEnded) {
      // The listener discards what comes, and has to see the caller's end.
      this.#pause.resume();
      return;
    }
    const readMode: SocketReadMode = this.#order.readMode;
    if (readMode === 'on') {
      this.#pause.resume();
      return;
    }
    this.#pause.pause();
    if (readMode === 'look') {
      this.#options.paused.scheduleLook(this);
    }
  }
}
