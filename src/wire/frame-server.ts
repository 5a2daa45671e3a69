/** Owns a listening TCP socket and its accepted connections. */
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import type { Address } from '../model/identifiers.js';
import { formatAddress, parseAddress } from './address.js';
import {
  FrameConnection,
  type FrameConnectionOwner,
  type WireIdentity,
  type WireLimits,
} from './frame-connection.js';
import { ListenError } from './listen-error.js';

export interface FrameServerOptions {
  /** Port 0 selects any free port. */
  readonly listen: Address;
  readonly identity: WireIdentity;
  readonly limits: WireLimits;
  /** Further connections are closed immediately. */
  readonly maxConnections?: number;
  readonly owner: FrameConnectionOwner;
}

/** Enough for all routers of a large cluster, plus connections that are rejected in the handshake. */
const DEFAULT_MAX_CONNECTIONS = 4096;
const LISTEN_BACKLOG = 511;

export class FrameServer {
  private readonly server: Server;
  private readonly connections = new Set<FrameConnection>();

  private constructor(private readonly options: FrameServerOptions) {
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Starts listening. Throws `ListenError`. */
  static async listen(options: FrameServerOptions): Promise<FrameServer> {
    const frameServer = new FrameServer(options);
    const { host, port } = parseAddress(options.listen);
    await new Promise<void>((resolve, reject) => {
      const onError = (error: Error): void => reject(new ListenError(options.listen, error));
      frameServer.server.once('error', onError);
      frameServer.server.listen({ host, port, backlog: LISTEN_BACKLOG }, () => {
        frameServer.server.off('error', onError);
        resolve();
      });
    });
    return frameServer;
  }

  /** The listening address with the actual port. */
  get address(): Address {
    const { address, port } = this.server.address() as AddressInfo;
    return formatAddress({ host: address, port });
  }

  /** Stops listening and closes every connection. */
  async stop(): Promise<void> {
    const closed = new Promise<void>((resolve) => this.server.close(() => resolve()));
    for (const connection of this.connections) {
      connection.destroy(null);
    }
    await closed;
  }

  private accept(socket: Socket): void {
    const { identity, limits, owner, maxConnections = DEFAULT_MAX_CONNECTIONS } = this.options;
    if (this.connections.size >= maxConnections) {
      socket.destroy();
      return;
    }
    const connection = new FrameConnection(socket, 'acceptor', identity, limits, {
      ready: (self, peer) => owner.ready(self, peer),
      received: (self, frame) => owner.received(self, frame),
      closed: (self, reason) => {
        this.connections.delete(self);
        owner.closed(self, reason);
      },
    });
    this.connections.add(connection);
  }
}
