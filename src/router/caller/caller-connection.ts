/** One connection of a caller with the requests that were sent on it behind one another. */
import type { Socket } from 'node:net';
import type { WriterAccount } from './answer-writer.js';
import type { BreakReason, CallerExchange } from './caller-exchange.js';
import type { HeldBytes } from './held-bytes.js';
import type { PausedConnection, PausedConnections } from './paused-connections.js';
import { type PipelineLimits, PipelineOrder, type SocketReading } from './pipeline-order.js';
import { SocketPause } from './socket-pause.js';

export interface CallerConnectionParts {
  readonly limits: PipelineLimits;
  readonly held: HeldBytes;
  readonly paused: PausedConnections;
  /** Silence in the middle of an answer after which it is broken off. */
  readonly stallMillis: number;
  /** It is the turn of a request. */
  readonly handOn: (exchange: CallerExchange) => void;
  /** The answer of a request was given whole, or can't be given any more. */
  readonly ended: (exchange: CallerExchange, wasHandedOn: boolean) => void;
  readonly broken: (exchange: CallerExchange, reason: BreakReason, lostBehind: number) => void;
}

export class CallerConnection implements WriterAccount, PausedConnection {
  readonly #parts: CallerConnectionParts;
  readonly #socket: Socket;
  readonly #order: PipelineOrder<CallerExchange>;
  readonly #pause: SocketPause;

  constructor(socket: Socket, parts: CallerConnectionParts) {
    this.#parts = parts;
    this.#socket = socket;
    this.#order = new PipelineOrder(parts.limits);
    this.#pause = new SocketPause(socket);
    socket.on('timeout', () => this.#timedOut());
    socket.once('close', () => this.#closed());
  }

  /** Requests that were read and aren't answered whole. */
  get size(): number {
    return this.#order.size;
  }

  /** Whether it isn't read. */
  get isPaused(): boolean {
    return this.#pause.isPaused;
  }

  /** Whether a request that was read counts; none does behind an answer that closes the connection. */
  takesRequests(): boolean {
    if (!this.#order.isClosing) {
      return true;
    }
    this.#order.ignore();
    this.#read();
    return false;
  }

  /** Takes the next request, whose body may still have to come. */
  add(exchange: CallerExchange): void {
    const before = this.#order.last;
    if (before !== undefined && !before.answered && before.closesConnection) {
      // The last request of a connection that a planned stop closes carries the close.
      before.closesConnection = false;
    }
    this.#order.add(exchange);
    if (this.#order.front?.answered === true) {
      this.#watchSilence();
    }
  }

  /** A request has come whole; it is handed on when it is its turn. */
  complete(exchange: CallerExchange): void {
    this.#order.complete(exchange);
    this.#handOn();
  }

  /** Takes no more requests; those that were read before are still answered. */
  close(): void {
    this.#order.close();
  }

  /** The answer of a request closes the connection: those behind it can't be answered. */
  closeAfter(exchange: CallerExchange): number {
    const lastHandedOn = this.#order.lastHandedOn;
    const lost = this.#order.closeAfter(exchange);
    const handedOn = lastHandedOn === undefined ? 0 : lost.indexOf(lastHandedOn) + 1;
    for (const [index, behind] of lost.entries()) {
      this.#end(behind, index < handedOn);
    }
    return lost.length;
  }

  /** An answer is broken off, and with it the connection. */
  breakAt(exchange: CallerExchange, reason: BreakReason): void {
    this.#parts.broken(exchange, reason, this.closeAfter(exchange));
  }

  isAtFront(exchange: CallerExchange): boolean {
    return this.#order.front === exchange;
  }

  hold(bytes: number): void {
    this.#order.hold(bytes);
    this.#parts.held.change(bytes);
    if (bytes < 0 && this.#pause.isPaused) {
      this.#read();
    }
  }

  hasRoom(): boolean {
    return this.#parts.held.hasRoom(this.#order.heldBytes);
  }

  whenReleased(wake: () => void): void {
    this.#parts.held.whenReleased(wake);
  }

  forget(wake: () => void): void {
    this.#parts.held.forget(wake);
  }

  /** An answer of so many bytes is there; on a planned stop that decides which answer is the last. */
  answerBegins(exchange: CallerExchange, bytes: number, isStreamed: boolean): void {
    this.#order.expect(bytes);
    if (this.isAtFront(exchange) && (isStreamed || this.#order.size > 1)) {
      this.#watchSilence();
    }
    const { last, lastHandedOn } = this.#order;
    if (last === undefined || !last.closesConnection || this.#order.isClosing) {
      return;
    }
    if (last === lastHandedOn) {
      this.#order.close();
    } else if (lastHandedOn !== undefined && (lastHandedOn === exchange || !lastHandedOn.answered)) {
      lastHandedOn.closesConnection = true;
      this.closeAfter(lastHandedOn);
    }
  }

  /** The answer of a request was given whole. */
  finished(exchange: CallerExchange): void {
    if (this.#socket.destroyed) {
      this.#closed();
      return;
    }
    this.#order.remove(exchange);
    this.#end(exchange, true);
    const front = this.#order.front;
    if (front !== undefined) {
      this.#moveUp(front);
    }
    this.#handOn();
  }

  look(): void {
    if (this.#order.reading === 'look') {
      this.#pause.resume();
    }
  }

  /** The socket is closed: nothing of the connection can be answered any more. */
  #closed(): void {
    this.#parts.paused.forget(this);
    const front = this.#order.front;
    if (front !== undefined) {
      this.closeAfter(front);
      const wasHandedOn = this.#order.lastHandedOn === front;
      this.#order.remove(front);
      this.#end(front, wasHandedOn);
    }
  }

  /** The request is the first of the connection now. */
  #moveUp(front: CallerExchange): void {
    if (front.answered) {
      this.#watchSilence();
    } else {
      this.#socket.setTimeout(0);
    }
    front.reachFront();
  }

  /** Breaks the connection if nothing passes on it while an answer is given. */
  #watchSilence(): void {
    this.#socket.setTimeout(this.#parts.stallMillis);
  }

  #timedOut(): void {
    if (this.#order.front?.answered === true) {
      this.#order.front.breakOff('caller-stalled');
    }
  }

  #handOn(): void {
    for (let next = this.#order.handOnNext(); next !== undefined; next = this.#order.handOnNext()) {
      this.#parts.handOn(next);
    }
    this.#read();
  }

  #end(exchange: CallerExchange, wasHandedOn: boolean): void {
    if (exchange.end()) {
      this.#parts.ended(exchange, wasHandedOn);
    }
  }

  #read(): void {
    const reading: SocketReading = this.#order.reading;
    if (reading === 'on') {
      this.#pause.resume();
      return;
    }
    this.#pause.pause();
    if (reading === 'look') {
      this.#parts.paused.lookAt(this);
    }
  }
}
