/**
 * An HTTP client of one connection, which can be reset. Bytes of a request that were sent into a cut stay with the system, which delivers them
 * after the cut even if the connection was closed; a reset discards them.
 */
import type { Duplex } from 'node:stream';
import { Client, type Dispatcher } from 'undici';
import type { Connector } from './settled-connector.js';

/** A connection that can be closed without delivering what it still has to send. */
interface ResettableStream extends Duplex {
  resetAndDestroy(): unknown;
}

/** A handler of requests that learns which client sends its request. */
export interface ClientUser {
  onClient(client: ResettableClient): void;
}

type ClientHandler = Dispatcher.DispatchHandlers & Partial<ClientUser>;

export class ResettableClient extends Client {
  #stream: ResettableStream | null = null;

  constructor(origin: URL, options: Client.Options) {
    const connect = options.connect as Connector;
    super(origin, {
      ...options,
      connect: (target, callback) =>
        connect(target, (...result) => {
          this.#stream = result[1];
          callback(...result);
        }),
    });
  }

  override dispatch(options: Dispatcher.DispatchOptions, handler: ClientHandler): boolean {
    handler.onClient?.(this);
    return super.dispatch(options, handler);
  }

  /** Resets the connection; its request then fails. Returns whether there was one that could be reset. */
  reset(): boolean {
    const stream = this.#stream;
    // The system can't reset a connection that it is closing already.
    if (stream === null || stream.destroyed || stream.writableEnded) {
      return false;
    }
    stream.resetAndDestroy();
    return true;
  }
}
