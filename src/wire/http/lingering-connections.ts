/**
 * Closes connections in stages (RFC 9112, 9.6): the sending side is ended, what still comes is discarded, and the connection is closed once its
 * caller has closed its end, or after a limit. The system resets a connection that is closed while bytes come or wait unread, and with it
 * discards the answers that it still holds for a slow caller.
 */
import { Socket } from 'node:net';

/** Time in which a caller may take the last answer and close its end. */
const LINGER_MILLIS = 30_000;
/** The same for a caller whose last answer is longer ago. */
const MIN_LINGER_MILLIS = 1000;
/** Bytes that are read and discarded; a caller that sends more is no longer read. */
const MAX_DISCARDED_BYTES = 16 * 1024 * 1024;
const CHECK_MILLIS = 100;

/** A connection that was closed before its caller closed its end. */
export interface CutConnection {
  /** Address of the caller. */
  readonly from: string;
  readonly lingeredMillis: number;
  readonly discardedBytes: number;
  /** Bytes that hadn't left the process. */
  readonly unsentBytes: number;
}

interface Lingering {
  readonly since: number;
  /** When it is closed at the latest. */
  until: number;
  discardedBytes: number;
}

export class LingeringConnections {
  readonly #onCut: (cut: CutConnection) => void;
  readonly #connections = new Map<Socket, Lingering>();
  #timer: NodeJS.Timeout | undefined;
  /** When those that have sent everything are closed at the latest. */
  #end = Number.POSITIVE_INFINITY;

  constructor(onCut: (cut: CutConnection) => void) {
    this.#onCut = onCut;
  }

  /**
   * Ends a connection of an HTTP server once all that was written to it is sent. `idleMillis` is the time since its last answer. No request
   * that still comes is handled. Does nothing if it is being closed already.
   */
  close(socket: Socket, idleMillis: number): void {
    if (socket.destroyed || this.#connections.has(socket)) {
      return;
    }
    if (socket.readableEnded) {
      Socket.prototype.destroySoon.call(socket);
      return;
    }
    const now = performance.now();
    const until = now + Math.max(MIN_LINGER_MILLIS, LINGER_MILLIS - idleMillis);
    const lingering: Lingering = { since: now, until, discardedBytes: 0 };
    this.#connections.set(socket, lingering);
    socket.setTimeout(0);
    socket.once('close', () => this.#connections.delete(socket));
    socket.once('finish', () => {
      lingering.until = performance.now() + until - now;
    });
    socket.end();
    discardInput(socket, (bytes) => {
      lingering.discardedBytes += bytes;
      return lingering.discardedBytes <= MAX_DISCARDED_BYTES;
    });
    this.#timer ??= setInterval(() => this.#check(), CHECK_MILLIS);
  }

  /** Closes those that have sent everything `millis` from now, and later ones at once. */
  closeWithin(millis: number): void {
    this.#end = performance.now() + millis;
  }

  /** Closes all at once, whatever hasn't been sent. */
  cutAll(): void {
    for (const [socket, lingering] of this.#connections) {
      this.#cut(socket, lingering);
    }
  }

  #check(): void {
    const now = performance.now();
    for (const [socket, lingering] of this.#connections) {
      const isOver = now >= this.#end && socket.writableFinished;
      if (isOver || now >= lingering.until) {
        this.#cut(socket, lingering);
      }
    }
    if (this.#connections.size === 0) {
      clearInterval(this.#timer);
      this.#timer = undefined;
    }
  }

  #cut(socket: Socket, { since, discardedBytes }: Lingering): void {
    this.#connections.delete(socket);
    this.#onCut({
      from: socket.remoteAddress ?? '',
      lingeredMillis: Math.round(performance.now() - since),
      discardedBytes,
      unsentBytes: socket.writableLength,
    });
    socket.destroy();
  }
}

/** Takes a socket's input from the HTTP server and discards it while `mayRead`, which is told the number of bytes, says so. */
function discardInput(socket: Socket, mayRead: (bytes: number) => boolean): void {
  const discard = (chunk: Buffer): void => {
    if (!mayRead(chunk.length)) {
      socket.pause();
    }
  };
  const take = (): void => {
    const parsers = socket.listeners('data') as (typeof discard)[];
    // Adding a listener makes the HTTP parser give the input back.
    socket.on('data', discard);
    for (const parser of parsers) {
      socket.off('data', parser);
    }
  };
  if (socket.isPaused()) {
    // Only while the input is the parser's does the HTTP server read again when its socket resumes.
    socket.once('resume', take);
  } else {
    take();
  }
  // Whoever has paused the socket may have replaced its `resume`, and a pause may take effect at the end of this turn.
  setImmediate(() => Socket.prototype.resume.call(socket));
}
