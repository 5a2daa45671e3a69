/**
 * The connections of a stand-in caller to one router. When one of several requests behind one another is given up, their connection closes; the
 * others end with it by their own caller's doing.
 */
import { Client } from 'undici';
import { TernmountError } from '../../../errors/ternmount-error.js';
import { type ReceivedAnswer, sendOnce } from './single-send.js';

export interface CallerConnectionsOptions {
  readonly origin: string;
  readonly localAddress: string;
  readonly connectMillis: number;
  readonly connections: number;
  /** Largest number of requests behind one another on a connection. */
  readonly pipelining: number;
}

/** Another request of the same caller was given up, and with it the connection that both were sent on. */
export class ClosedByCallerError extends TernmountError {
  constructor() {
    super(
      { code: 'TERNMOUNT_STANDIN_CLOSED_BY_CALLER', retriable: true },
      'the caller closed the connection',
    );
  }
}

type SendOptions = Parameters<typeof sendOnce>[1];

/** A connection that is opened again when it has ended. */
class CallerConnection {
  readonly client: Client;
  /** Number of requests that wait for their answers. */
  open = 0;
  /** How often this caller has closed it. */
  closings = 0;

  constructor(client: Client) {
    this.client = client;
  }
}

export class CallerConnections {
  readonly #options: CallerConnectionsOptions;
  readonly #connections: CallerConnection[] = [];

  constructor(options: CallerConnectionsOptions) {
    this.#options = options;
  }

  /** Throws if there is no whole answer, or when `signal` is aborted. */
  async send(options: SendOptions, signal: AbortSignal): Promise<ReceivedAnswer> {
    const connection = this.#pick();
    const { closings } = connection;
    connection.open += 1;
    try {
      return await sendOnce(connection.client, options, signal);
    } catch (thrown) {
      if (signal.aborted) {
        connection.closings += 1;
      } else if (connection.closings > closings) {
        throw new ClosedByCallerError();
      }
      throw thrown;
    } finally {
      connection.open -= 1;
    }
  }

  async close(): Promise<void> {
    await Promise.all(this.#connections.map(({ client }) => client.destroy()));
  }

  /** Returns an idle connection, a new one, or the one with the fewest requests. */
  #pick(): CallerConnection {
    const { connections } = this.#options;
    const [least] = this.#connections.toSorted((one, other) => one.open - other.open);
    if (least !== undefined && (least.open === 0 || this.#connections.length >= connections)) {
      return least;
    }
    return this.#open();
  }

  #open(): CallerConnection {
    const { origin, localAddress, connectMillis, pipelining } = this.#options;
    const client = new Client(origin, { localAddress, pipelining, connect: { timeout: connectMillis } });
    const connection = new CallerConnection(client);
    this.#connections.push(connection);
    return connection;
  }
}
