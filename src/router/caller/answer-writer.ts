/**
 * Writes one large answer to one caller once it is at the front of its connection, and buffers what the caller doesn't read
 * yet. An answer whose source fails before its head was written can still be replaced by another.
 */
import type { ServerResponse } from 'node:http';

/** Accounts for the answer bytes that a connection buffers. */
export interface BufferAccount {
  /** Adds `bytes`, which may be negative, to the buffered bytes. */
  hold(bytes: number): void;
  hasCapacity(): boolean;
  /** Calls `wake` once when there may be capacity. */
  waitForRelease(wake: () => void): void;
  cancelWait(wake: () => void): void;
}

export interface AnswerWriterOptions {
  readonly response: ServerResponse;
  readonly status: number;
  readonly headers: string[];
  readonly account: BufferAccount;
  /** Called when the whole answer was received, before the rest of it is written. */
  readonly onWhole: () => void;
  /** Called after the turn in which there was no room for more of an answer that hasn't started. */
  readonly onBlocked: () => void;
  /** Called when the source of the answer fails; `started` is whether the head was written. */
  readonly onBroken: (started: boolean) => void;
}

const NOOP = (): void => {};

export class AnswerWriter {
  /** Called when more may be written after `write` returned `false`. */
  onWritable: () => void = NOOP;
  /** Called when the request ends, for example because its caller disconnected; not after `abort`. */
  onClose: () => void = NOOP;
  readonly #options: AnswerWriterOptions;
  #chunks: Buffer[] = [];
  #bufferedBytes = 0;
  /** Bytes written to the response that are still in the socket's buffer. */
  #unsentBytes = 0;
  #started = false;
  #blocked = false;
  #ended = false;
  #isFinished = false;
  #closed = false;
  readonly #onReleased = (): void => this.#notifyWritable();

  constructor(options: AnswerWriterOptions) {
    this.#options = options;
  }

  get hasStarted(): boolean {
    return this.#started;
  }

  /** Starts writing: the answer is at the front of its connection. */
  start(): void {
    const { response, status, headers } = this.#options;
    if (this.#closed || this.#started) {
      return;
    }
    this.#started = true;
    response.on('drain', () => this.#onDrain());
    response.writeHead(status, headers);
    response.flushHeaders();
    this.#flush();
    // An answer at the front may continue whatever other answers buffer; it may have been blocked while it was behind another.
    this.#notifyWritable();
  }

  /** Returns `false` if nothing more should be read from the source until `onWritable` is called. */
  write(chunk: Buffer): boolean {
    if (this.#closed) {
      return true;
    }
    if (this.#started && !this.#blocked && this.#chunks.length === 0) {
      this.#send(chunk);
    } else {
      this.#chunks.push(chunk);
      this.#bufferedBytes += chunk.length;
      this.#options.account.hold(chunk.length);
    }
    return this.#hasCapacity();
  }

  /** Whether more may be written now. If not, `onWritable` is called later. */
  isWritable(): boolean {
    return this.#closed || this.#hasCapacity();
  }

  /** Has `onBlocked` called if there is no room, and `onWritable` if there is. */
  checkBlocked(): void {
    this.#notifyWritable();
  }

  end(): void {
    if (this.#closed) {
      return;
    }
    this.#ended = true;
    this.#options.onWhole();
    this.#flush();
  }

  /** Aborts the answer, so that its caller can't mistake a part for the whole. */
  abort(): void {
    if (!this.#closed) {
      this.#close();
      this.#options.onBroken(this.#started);
    }
  }

  /** Called when the request is over, whether or not its answer was written whole. */
  close(): void {
    if (!this.#closed) {
      this.#close();
      this.onClose();
    }
  }

  #close(): void {
    this.#closed = true;
    const releasedBytes = this.#bufferedBytes + this.#unsentBytes;
    this.#chunks = [];
    this.#bufferedBytes = 0;
    this.#unsentBytes = 0;
    this.#options.account.cancelWait(this.#onReleased);
    this.#options.account.hold(-releasedBytes);
  }

  #hasCapacity(): boolean {
    const { account } = this.#options;
    if ((this.#started && !this.#blocked) || account.hasCapacity()) {
      return true;
    }
    account.waitForRelease(this.#onReleased);
    if (!this.#started) {
      setImmediate(() => this.#notifyBlocked());
    }
    return false;
  }

  #notifyBlocked(): void {
    if (!this.#closed && !this.#started && !this.#ended && !this.#options.account.hasCapacity()) {
      this.#options.onBlocked();
    }
  }

  #notifyWritable(): void {
    if (!this.#closed && this.#hasCapacity()) {
      this.#options.account.cancelWait(this.#onReleased);
      this.onWritable();
    }
  }

  #onDrain(): void {
    if (this.#closed) {
      return;
    }
    const sentBytes = this.#unsentBytes;
    this.#unsentBytes = 0;
    this.#blocked = false;
    this.#options.account.hold(-sentBytes);
    this.#flush();
    this.#notifyWritable();
  }

  /**
   * Writes buffered chunks until the socket's buffer is full. The response ends only after all of it was written, so a planned
   * stop can't truncate it.
   */
  #flush(): void {
    if (!this.#started || this.#closed) {
      return;
    }
    let sentBytes = 0;
    while (!this.#blocked && this.#chunks.length > 0) {
      const chunk = this.#chunks.shift() as Buffer;
      sentBytes += chunk.length;
      this.#send(chunk);
    }
    this.#bufferedBytes -= sentBytes;
    this.#options.account.hold(-sentBytes);
    if (this.#ended && !this.#blocked && !this.#isFinished) {
      this.#isFinished = true;
      this.#options.response.end();
    }
  }

  #send(chunk: Buffer): void {
    if (!this.#options.response.write(chunk)) {
      this.#blocked = true;
      this.#unsentBytes += chunk.length;
      this.#options.account.hold(chunk.length);
    }
  }
}
