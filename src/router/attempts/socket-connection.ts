/**
 * A direct connection to an upstream. An answer without a length ends with its connection and is whole only if that ended with a FIN.
 */
import type { Socket } from 'node:net';
import { ConnectionResetError } from './attempt-error.js';
import { UpstreamConnection } from './upstream-connection.js';

const RESET = 'ECONNRESET';

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
    this.#socket.write(chunk, done);
  }

  override _writev(chunks: readonly { readonly chunk: Buffer }[], done: WriteCallback): void {
    this.#socket.cork();
    for (const [index, { chunk }] of chunks.entries()) {
      this.#socket.write(chunk, index === chunks.length - 1 ? done : undefined);
    }
    this.#socket.uncork();
  }

  override _final(done: WriteCallback): void {
    this.#socket.end(done);
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
    this.#hasEnded = true;
    this.push(null);
  }

  #onError(error: NodeJS.ErrnoException): void {
    if (!this.#hasEnded) {
      // The client takes an answer without a length for whole if its connection fails with the code of the system.
      this.destroy(error.code === RESET ? new ConnectionResetError(error) : error);
    }
  }

  #onClose(): void {
    if (!this.#hasEnded) {
      this.destroy(new ConnectionResetError());
    }
  }
}
