/**
 * Carries connections of other routers to upstreams. It connects only to where the core says that an upstream of the configuration is, and
 * decides nothing about requests.
 */
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Logger } from '../../logging/logger.js';
import type { Address, UpstreamId } from '../../model/identifiers.js';
import type { RelayTarget } from '../../routing/paths/path-watch.js';
import { formatAddress, ListenError, parseAddress, type WireIdentity } from '../../wire/index.js';
import { CarriedConnection } from './carried-connection.js';

/** Carried connections, and connections of routers that haven't said yet what they want. Each takes two descriptors. */
export const MAX_RELAYED_CONNECTIONS = 512;
/** Connections beyond this multiple of those are closed unread. */
const UNREAD_FACTOR = 2;
const LISTEN_BACKLOG = 511;
const STOP_POLL_MILLIS = 10;

export interface RelayServerOptions {
  readonly listen: Address;
  readonly identity: WireIdentity;
  readonly localAddress?: string | undefined;
  readonly log: Logger;
  /** Asks the core where an upstream is; `answer` is called once. */
  readonly targetOf: (upstream: UpstreamId, answer: (target: RelayTarget) => void) => void;
  readonly maxConnections?: number;
}

/** Figures of the connections that a relay carries. */
export interface RelayUsage {
  readonly connections: number;
  /** Bytes carried since the start, in both directions. */
  readonly bytes: number;
}

export const NO_RELAY_USAGE: RelayUsage = { connections: 0, bytes: 0 };

export class RelayServer {
  readonly #options: RelayServerOptions;
  readonly #server: Server;
  readonly #connections = new Set<CarriedConnection>();
  #bytes = 0;
  #isStopping = false;

  private constructor(options: RelayServerOptions) {
    this.#options = options;
    this.#server = createServer({ noDelay: true }, (socket) => this.#accept(socket));
    this.#server.maxConnections = UNREAD_FACTOR * (options.maxConnections ?? MAX_RELAYED_CONNECTIONS);
  }

  /** Starts listening. Throws `ListenError`. */
  static async listen(options: RelayServerOptions): Promise<RelayServer> {
    const relay = new RelayServer(options);
    await new Promise<void>((resolve, reject) => {
      const onError = (error: Error): void => reject(new ListenError(options.listen, error));
      relay.#server.once('error', onError);
      relay.#server.listen({ ...parseAddress(options.listen), backlog: LISTEN_BACKLOG }, () => {
        relay.#server.off('error', onError);
        resolve();
      });
    });
    return relay;
  }

  /** The listening address with the actual port. */
  get address(): Address {
    const { address, port } = this.#server.address() as AddressInfo;
    return formatAddress({ host: address, port });
  }

  get usage(): RelayUsage {
    return { connections: this.#connections.size, bytes: this.#bytes };
  }

  /** Opens no more connections, and asks the routers at the other ends to close theirs when they are idle. */
  announceStop(): void {
    this.#isStopping = true;
    for (const connection of this.#connections) {
      connection.announceClosing();
    }
  }

  /** Waits until no connection is open, but not longer than `limitMillis`, then closes everything. */
  async stop(limitMillis: number): Promise<void> {
    this.announceStop();
    const deadline = performance.now() + limitMillis;
    while (this.#connections.size > 0 && performance.now() < deadline) {
      await sleep(STOP_POLL_MILLIS);
    }
    const closed = new Promise<void>((resolve) => this.#server.close(() => resolve()));
    for (const connection of this.#connections) {
      connection.close();
    }
    await closed;
  }

  #accept(socket: Socket): void {
    const { identity, localAddress, log, targetOf, maxConnections = MAX_RELAYED_CONNECTIONS } = this.#options;
    const connection = new CarriedConnection(socket, {
      identity,
      localAddress,
      log,
      targetOf,
      refusal: () => this.#refusal(maxConnections),
      carried: (bytes) => {
        this.#bytes += bytes;
      },
      closed: () => this.#connections.delete(connection),
    });
    this.#connections.add(connection);
  }

  #refusal(maxConnections: number): 'busy' | 'stopping' | null {
    if (this.#isStopping) {
      return 'stopping';
    }
    return this.#connections.size > maxConnections ? 'busy' : null;
  }
}
