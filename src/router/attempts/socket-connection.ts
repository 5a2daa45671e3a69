/**
 * A direct connection to an upstream. An answer without a length ends with its connection and is whole only if that ended with a FIN. The system
 * may report the reset of a connection as an ordinary end, if its last bytes and the reset are found together; a write after the end tells them
 * apart, since its error names a reset that wasn't reported yet. So does one that waits while the end comes: an upstream may answer and end
 * before it has read its request.
 */
import type { Socket } from 'node:net';
import { ConnectionResetError } from './attempt-error.js';
import { UpstreamConnection } from './upstream-connection.js';

/** Error of a write after a FIN that was followed by a reset: all that was sent before the FIN has been received. */
const RESET_AFTER_FIN = 'EPIPE';
const RESET = 'ECONNRESET';
const NOTHING = Buffer.alloc(0);

type WriteCallback = (error?: Error | null) => void;

export class SocketConnection extends UpstreamConnection {
  readonly #socket: Socket;
  /** Whether the socket reported its end, so that what it reports afterwards says how it ended. */
  #hasEnded = false;

  /** Takes over an open socket that allows half-open connections. */
  constructor(socket: Socket) {
    super();
    this.#socket = socket;
    socket.on('data', (bytes: Buffer) => this.receive(bytes));
    socket.on('end', () => this.#onEnd());
    socket.on('error', (error: NodeJS.ErrnoException) => this.#onError(error));
    socket.on('close', () => this.#onClose());
  }

  override resetAndDestroy(error?: Error): void {
    this.#socket.resetAndDestroy();
    this.destroy(error);
  }

  /** Keeps the process alive again while the connection is open. */
  ref(): void {
    this.#socket.ref();
  }

  unref(): void {
    this.#socket.unref();
  }

  override _write(chunk: Buffer, _encoding: BufferEncoding, done: WriteCallback): void {
    this.#socket.write(chunk, (error) => this.#onWritten(error, done));
  }

  override _writev(chunks: readonly { readonly chunk: Buffer }[], done: WriteCallback): void {
    this.#socket.cork();
    for (const [index, { chunk }] of chunks.entries()) {
      const isLast = index === chunks.length - 1;
      this.#socket.write(chunk, isLast ? (error) => this.#onWritten(error, done) : undefined);
    }
    this.#socket.uncork();
  }

  override _final(done: WriteCallback): void {
    this.#socket.end((error?: Error | null) => this.#onWritten(error, done));
  }

  override _destroy(error: Error | null, done: WriteCallback): void {
    this.#socket.destroy();
    done(error);
  }

  protected override pauseSource(): void {
    this.#socket.pause();
  }

  protected override resumeSource(): void {
    this.#socket.resume();
  }

  #onEnd(): void {
    if (this.destroyed) {
      return;
    }
    this.#hasEnded = true;
    if (this.#socket.writableEnded) {
      // This end was closed first, as the HTTP client never does; nothing can be written any more.
      this.push(null);
      return;
    }
    if (this.#socket.writableLength > 0) {
      this.#awaitPendingWrite();
      return;
    }
    this.#socket.write(NOTHING, (error) => this.#onEndTold(error));
  }

  /** A reset that has come fails the pending write in the turn of the loop that found the end, or in the next one. A FIN lets it wait. */
  #awaitPendingWrite(): void {
    setImmediate(() => setImmediate(() => this.#onEndTold(null)));
  }

  /** A failed write reports its error before the socket does. */
  #onWritten(error: NodeJS.ErrnoException | null | undefined, done: WriteCallback): void {
    if (!error) {
      done();
    } else if (this.#hasEnded) {
      // The write stays pending: with its error the connection would fail in place of ending.
      this.#onEndTold(error);
    } else {
      done(connectionError(error));
    }
  }

  #onEndTold(error: NodeJS.ErrnoException | null | undefined): void {
    if (this.destroyed) {
      return;
    }
    if (error && error.code !== RESET_AFTER_FIN) {
      this.destroy(new ConnectionResetError(error));
    } else {
      this.push(null);
    }
  }

  #onError(error: NodeJS.ErrnoException): void {
    if (!this.#hasEnded) {
      this.destroy(connectionError(error));
    }
  }

  #onClose(): void {
    if (!this.#hasEnded) {
      this.destroy(new ConnectionResetError());
    }
  }
}

/** Turns the error of a socket into one of a connection: the client takes an answer without a length for whole if it sees the system's code. */
function connectionError(error: NodeJS.ErrnoException): Error {
  return error.code === RESET ? new ConnectionResetError(error) : error;
}
