/** Owns an HTTP server: listens, limits slow callers, and stops gracefully. */
import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { Address } from '../../model/identifiers.js';
import { formatAddress, parseAddress } from '../address.js';
import { ListenError } from '../listen-error.js';
import { GracefulServer, type HttpStopTimes } from './graceful-server.js';
import type { CutConnection } from './lingering-connections.js';
import { type AnsweredFault, type DescribeFault, RequestFaults } from './request-faults.js';

export interface HttpLimits {
  readonly maxHeaderBytes: number;
  /** Time within which the header of a request must arrive. */
  readonly headersMillis: number;
  /** Time within which a whole request must arrive. */
  readonly requestMillis: number;
  readonly keepAliveMillis: number;
  readonly maxConnections: number;
}

export const DEFAULT_HTTP_LIMITS: HttpLimits = {
  maxHeaderBytes: 16 * 1024,
  headersMillis: 10_000,
  requestMillis: 30_000,
  keepAliveMillis: 65_000,
  maxConnections: 20_000,
};

export interface HttpListenerOptions {
  /** Whether requests without a Host header are rejected before they reach the listener. Default: true. */
  readonly requireHost?: boolean;
  /** Creates the responses to malformed requests. */
  readonly describeFault?: DescribeFault;
  /** Called when a malformed or incomplete request is answered. */
  readonly onFaultAnswered?: (answered: AnsweredFault) => void;
  /** Whether the listener itself says with which answers connections close in a planned stop. Default: false. */
  readonly decidesClosings?: boolean;
  /** Called when a connection is closed whose caller hasn't closed its end in time. */
  readonly onCut?: (cut: CutConnection) => void;
}

const describeFaultByName: DescribeFault = (fault) => ({ headers: {}, body: { error: fault } });

const LISTEN_BACKLOG = 4096;
const CONNECTIONS_CHECK_MILLIS = 1000;

export class HttpListener {
  private readonly sockets = new Set<Socket>();

  private constructor(
    private readonly server: Server,
    private readonly graceful: GracefulServer,
  ) {
    server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  /** Starts listening. Throws `ListenError`. */
  static async listen(
    address: Address,
    limits: HttpLimits,
    onRequest: RequestListener,
    options: HttpListenerOptions = {},
  ): Promise<HttpListener> {
    const server = createServer({
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: limits.headersMillis,
      requestTimeout: limits.requestMillis,
      keepAliveTimeout: limits.keepAliveMillis,
      connectionsCheckingInterval: CONNECTIONS_CHECK_MILLIS,
      noDelay: true,
      requireHostHeader: options.requireHost ?? true,
    });
    const { describeFault = describeFaultByName, onFaultAnswered = () => {}, onCut = () => {} } = options;
    const graceful = new GracefulServer(server, onCut, options.decidesClosings !== true);
    new RequestFaults(server, describeFault, onFaultAnswered);
    server.maxConnections = limits.maxConnections;
    server.on('request', onRequest);
    // An unknown expectation is no reason to reject a request (RFC 9110, 10.1.1).
    server.on('checkExpectation', (request, response) => server.emit('request', request, response));
    const { host, port } = parseAddress(address);
    const listener = new HttpListener(server, graceful);
    await new Promise<void>((resolve, reject) => {
      const onError = (error: Error): void => reject(new ListenError(address, error));
      server.once('error', onError);
      server.listen({ host, port, backlog: LISTEN_BACKLOG }, () => {
        server.off('error', onError);
        resolve();
      });
    });
    return listener;
  }

  /** The listening address with the actual port. */
  get address(): Address {
    const { address, port } = this.server.address() as AddressInfo;
    return formatAddress({ host: address, port });
  }

  /** Changes the limits, except for the header size, which is fixed while the server listens. */
  resize(limits: Omit<HttpLimits, 'maxHeaderBytes' | 'maxConnections'>): void {
    this.server.headersTimeout = limits.headersMillis;
    this.server.requestTimeout = limits.requestMillis;
    this.server.keepAliveTimeout = limits.keepAliveMillis;
  }

  /** Stops as planned; see `GracefulServer`. */
  stop(times: HttpStopTimes): Promise<void> {
    return this.graceful.stop(times);
  }

  /** Closes every connection at once, whatever is still to be read or written; ends a stop that waits for them. */
  cutConnections(): void {
    this.graceful.cutLingering();
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }
}
