/**
 * Sends one request once. The HTTP client sends pipelined requests again by itself when their connection ends; a caller that must know what became
 * of what it sent can't have that.
 */
import type { Dispatcher } from 'undici';
import { TernmountError } from '../../../errors/ternmount-error.js';
import type { HeaderValues } from './request-form.js';

/** The connection ended before the answer, and the client would have sent the request again. */
export class ConnectionLostError extends TernmountError {
  constructor() {
    super(
      { code: 'TERNMOUNT_STANDIN_CONNECTION_LOST', retriable: false },
      'the connection ended before the answer',
    );
  }
}

export interface ReceivedAnswer {
  readonly status: number;
  /** Names in lower case. */
  readonly headers: HeaderValues;
  readonly text: string;
}

const FIRST_FINAL_STATUS = 200;

/** Rejects if there is no whole answer, or when `signal` is aborted. */
export function sendOnce(
  dispatcher: Dispatcher,
  options: Dispatcher.DispatchOptions,
  signal: AbortSignal,
): Promise<ReceivedAnswer> {
  return new Promise((resolve, reject) => {
    dispatcher.dispatch(options, new SingleSend(signal, resolve, reject));
  });
}

class SingleSend implements Dispatcher.DispatchHandlers {
  readonly #signal: AbortSignal;
  readonly #resolve: (answer: ReceivedAnswer) => void;
  readonly #reject: (error: Error) => void;
  readonly #chunks: Buffer[] = [];
  #isSent = false;
  #status = 0;
  #headers: HeaderValues = {};

  constructor(
    signal: AbortSignal,
    resolve: (answer: ReceivedAnswer) => void,
    reject: (error: Error) => void,
  ) {
    this.#signal = signal;
    this.#resolve = resolve;
    this.#reject = reject;
  }

  onConnect(abort: (error?: Error) => void): void {
    if (this.#isSent) {
      abort(new ConnectionLostError());
      return;
    }
    this.#isSent = true;
    if (this.#signal.aborted) {
      abort(this.#signal.reason as Error);
    } else {
      this.#signal.addEventListener('abort', () => abort(this.#signal.reason as Error), { once: true });
    }
  }

  onHeaders(status: number, rawHeaders: Buffer[]): boolean {
    if (status >= FIRST_FINAL_STATUS) {
      this.#status = status;
      this.#headers = headersOf(rawHeaders);
    }
    return true;
  }

  onData(chunk: Buffer): boolean {
    this.#chunks.push(chunk);
    return true;
  }

  onComplete(): void {
    const text = Buffer.concat(this.#chunks).toString('utf8');
    this.#resolve({ status: this.#status, headers: this.#headers, text });
  }

  onError(error: Error): void {
    this.#reject(error);
  }
}

function headersOf(rawHeaders: readonly Buffer[]): HeaderValues {
  const headers: HeaderValues = {};
  for (let index = 0; index < rawHeaders.length; index += 2) {
    headers[String(rawHeaders[index]).toLowerCase()] = String(rawHeaders[index + 1]);
  }
  return headers;
}
