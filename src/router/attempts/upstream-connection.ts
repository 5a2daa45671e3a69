/**
 * A connection to an upstream as the HTTP client sees it. The client's parser must never be paused: it throws if its connection ends while
 * it is. Reading is held here instead, below the parser, which takes whatever was read before at once.
 */
import { Duplex } from 'node:stream';
import { toError } from '../../errors/ternmount-error.js';
import { HeadFormat } from '../../wire/http/head-format.js';
import { AttemptAbortedError } from './attempt-error.js';
import { InterimFilter } from './interim-filter.js';

/** Bytes that are read before the client has taken them. */
const READ_BUFFER_BYTES = 64 * 1024;

export abstract class UpstreamConnection extends Duplex {
  /** Called with an error that a listener of the client has thrown; without a handler it is thrown on. */
  onListenerError: ((error: Error) => void) | null = null;
  readonly #interim = new InterimFilter();
  readonly #headFormat = new HeadFormat();
  #isHeld = false;
  #bytesRead = 0;

  constructor() {
    super({ highWaterMark: READ_BUFFER_BYTES });
    // Errors before the client has its listeners, and after it removed them.
    this.on('error', () => {});
  }

  /** Bytes received in all. */
  get bytesRead(): number {
    return this.#bytesRead;
  }

  /** Whether the upstream said that it closes the connection behind the exchange, where the client can't have read it. */
  get closesAfterExchange(): boolean {
    return this.#interim.saysClose;
  }

  /** The next bytes are those of an answer, maybe behind interim ones. */
  expectAnswer(): void {
    this.#interim.expectAnswer();
    this.#headFormat.expectHead();
  }

  /** Reads nothing more until `release`. What was read before is still passed on. */
  hold(): void {
    this.#isHeld = true;
    this.pauseSource();
  }

  /** Reads again. */
  release(): void {
    if (this.#isHeld) {
      this.#isHeld = false;
      this.resumeSource();
    }
  }

  /** Closes the connection and discards what hasn't been sent. */
  abstract resetAndDestroy(error?: Error): void;

  protected abstract pauseSource(): void;

  protected abstract resumeSource(): void;

  /** An error of the client is the end of this connection, not of the process. */
  override emit(event: string | symbol, ...args: unknown[]): boolean {
    try {
      return super.emit(event, ...args);
    } catch (thrown) {
      if (this.onListenerError === null) {
        throw thrown;
      }
      this.onListenerError(toError(thrown));
      return true;
    }
  }

  /** Passes received bytes on. */
  protected receive(bytes: Uint8Array): void {
    this.#bytesRead += bytes.length;
    const passed = this.#interim.pass(bytes);
    if (this.#interim.isExceeded) {
      this.destroy(new AttemptAbortedError('head-too-large'));
    } else if (!this.#headFormat.read(passed)) {
      this.destroy(new AttemptAbortedError('malformed-head'));
    } else if (passed.length > 0 && !this.push(passed)) {
      this.pauseSource();
    }
  }

  override _read(): void {
    if (!this.#isHeld) {
      this.resumeSource();
    }
  }
}
