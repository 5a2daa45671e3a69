/**
 * An HTTP client of one connection, which can be reset, which ends a connection that receives much without a part of an answer, and which
 * replaces one that has carried the id of a request before. Bytes of a request that were sent into a cut stay with the system, which
 * delivers them after the cut even if the connection was closed; a reset discards them.
 */
import { Client, type Dispatcher, errors } from 'undici';
import { AttemptAbortedError } from './attempt-error.js';
import { SentIds } from './sent-ids.js';
import type { Connector } from './settled-connector.js';
import type { UpstreamConnection } from './upstream-connection.js';

/**
 * Bytes that may come before the next part of an answer: interim answers and the head, or what frames a body. The parser itself
 * bounds header fields only.
 */
const MAX_FRAMING_BYTES = 64 * 1024;

/** The place of a request on its connection. */
export interface ConnectionUse {
  /** Number of the connection within this process. */
  readonly connection: number;
  /** Number of requests that were written to it before. */
  readonly earlierRequests: number;
}

/** A handler of requests that learns which client sends its request. */
export interface ClientUser {
  /** Id that answers of the upstream carry, if other requests may have the same; `null` if none has. */
  readonly sharedId: string | null;
  onClient(client: ResettableClient): void;
}

type ClientHandler = Dispatcher.DispatchHandlers & Partial<ClientUser>;

/** Connections opened by this process. */
let connectionCount = 0;

export class ResettableClient extends Client {
  #stream: UpstreamConnection | null = null;
  #connection = 0;
  /** Number of requests written to the connection. */
  #requests = 0;
  #sentIds = new SentIds();
  /** Connection whose framing is watched, and the bytes that it had received with the last part of an answer. */
  #watched: UpstreamConnection | null = null;
  #bytesAtProgress = 0;

  /** Handler of the latest request. */
  #handler: ClientHandler | null = null;
  readonly #onFailed: (error: Error) => void;
  readonly #origin: URL;

  /** `onFailed` is called with an error that the client itself has thrown. */
  constructor(origin: URL, options: Client.Options, onFailed: (error: Error) => void) {
    const connect = options.connect as Connector;
    super(origin, {
      ...options,
      connect: (target, callback) =>
        connect(target, (...result) => {
          const stream = result[1] as unknown as UpstreamConnection | null;
          this.#stream = stream;
          if (stream !== null) {
            stream.onListenerError = (error) => this.#fail(error);
          }
          connectionCount += 1;
          this.#connection = connectionCount;
          this.#requests = 0;
          this.#sentIds = new SentIds();
          callback(...result);
        }),
    });
    this.#onFailed = onFailed;
    this.#origin = origin;
  }

  override dispatch(options: Dispatcher.DispatchOptions, handler: ClientHandler): boolean {
    const { sharedId = null } = handler;
    if (!this.#mayReuseFor(sharedId)) {
      // The client is idle when it is given a request, and connects again for it.
      this.#stream?.destroy();
    }
    handler.onClient?.(this);
    this.#handler = handler;
    return super.dispatch(options, handler);
  }

  /** Whether the connection may carry a request; one whose upstream hasn't read the request before would have it wait for that. */
  #mayReuseFor(sharedId: string | null): boolean {
    const mayCarryId = sharedId === null || this.#sentIds.mayCarry(sharedId);
    const { closesAfterExchange = false, writableLength = 0 } = this.#stream ?? {};
    return mayCarryId && !closesAfterExchange && writableLength === 0;
  }

  /** Called when a request is written to the connection. */
  recordRequest(sharedId: string | null): ConnectionUse {
    if (sharedId !== null) {
      this.#sentIds.add(sharedId);
    }
    const earlierRequests = this.#requests;
    this.#requests += 1;
    this.#stream?.expectAnswer();
    this.recordProgress();
    return { connection: this.#connection, earlierRequests };
  }

  /** Whether the upstream was seen to end the connection, behind bytes that were all read. */
  get hasSeenEnd(): boolean {
    return this.#stream?.readableEnded ?? false;
  }

  /** Reads nothing more from the connection until `releaseReading`. */
  holdReading(): void {
    this.#stream?.hold();
  }

  releaseReading(): void {
    this.#stream?.release();
  }

  /** Called with each part of an answer. */
  recordProgress(): void {
    const stream = this.#stream;
    if (stream === null) {
      return;
    }
    if (stream !== this.#watched) {
      this.#watched = stream;
      // The parser's own listener was added before, so that it has read by now what it will.
      stream.on('readable', () => this.#checkFraming(stream));
    }
    this.#bytesAtProgress = parsedBytes(stream);
  }

  #checkFraming(stream: UpstreamConnection): void {
    if (stream === this.#watched && parsedBytes(stream) - this.#bytesAtProgress > MAX_FRAMING_BYTES) {
      stream.destroy(new AttemptAbortedError('head-too-large'));
    }
  }

  /** Ends the request and this client, whose state isn't known any more. Its pool replaces it. */
  #fail(error: Error): void {
    this.#onFailed(error);
    this.#stream?.destroy(error);
    this.#handler?.onError?.(error);
    this.emit('connectionError', this.#origin, [this], new errors.SocketError(error.message));
  }

  /** Resets the connection; its request then fails. Returns whether there was one that could be reset. */
  reset(): boolean {
    const stream = this.#stream;
    // The system can't reset a connection that it is closing already.
    if (stream === null || stream.destroyed || stream.writableEnded) {
      return false;
    }
    stream.resetAndDestroy(new AttemptAbortedError('cancelled'));
    return true;
  }
}

/** Bytes that were received and taken by the parser. */
function parsedBytes({ bytesRead, readableLength }: UpstreamConnection): number {
  return bytesRead - readableLength;
}
