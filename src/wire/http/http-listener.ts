/** Owns an HTTP server: listens, limits slow callers, and stops gracefully. */
import { createServer, type RequestListener, type Server } from 'node:http';
import { type AddressInfo, Server as NetServer, type Socket } from 'node:net';
import { setImmediate as nextImmediate, setTimeout as sleep } from 'node:timers/promises';
import type { Address } from '../../model/identifiers.js';
import { formatAddress, parseAddress } from '../address.js';
import { ListenError } from '../listen-error.js';
import { type CutConnection, LingeringConnections } from './lingering-connections.js';
import { type AnsweredFault, type DescribeFault, RequestFaults } from './request-faults.js';
import { ServedConnections } from './served-connections.js';

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
  /** Called when a connection is closed whose caller hasn't closed its end in time. */
  readonly onCut?: (cut: CutConnection) => void;
}

const describeFaultByName: DescribeFault = (fault) => ({ headers: {}, body: { error: fault } });

const LISTEN_BACKLOG = 4096;
const CONNECTIONS_CHECK_MILLIS = 1000;
const IDLE_CHECK_MILLIS = 20;
/** Longest time for which a stopping listener accepts what waits. */
const MAX_ACCEPT_MILLIS = 1000;

/** Timings of a graceful stop. */
export interface HttpStopTimes {
  /** How long requests on open connections are still served after new connections are no longer accepted. */
  readonly idleMillis: number;
  /** How long connections are still accepted. Default: 0. */
  readonly lameDuckMillis?: number;
  /** After this time from the start of the stop, nothing waits any longer for callers to close their ends. */
  readonly graceMillis: number;
}

export class HttpListener {
  private stopping = false;

  private constructor(
    private readonly server: Server,
    private readonly connections: ServedConnections,
    private readonly lingering: LingeringConnections,
  ) {}

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
    const connections = new ServedConnections(server);
    const lingering = new LingeringConnections(onCut);
    closeInStages(server, connections, lingering);
    new RequestFaults(server, describeFault, onFaultAnswered);
    server.maxConnections = limits.maxConnections;
    const listener = new HttpListener(server, connections, lingering);
    server.on('request', (request, response) => {
      if (listener.stopping) {
        // Setting the header instead would make Node keep only the last of several headers with the same name.
        response.shouldKeepAlive = false;
      }
      onRequest(request, response);
    });
    // An unknown expectation is no reason to reject a request (RFC 9110, 10.1.1).
    server.on('checkExpectation', (request, response) => server.emit('request', request, response));
    const { host, port } = parseAddress(address);
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

  /** Resolves when no connection waits to be accepted: one is accepted in each turn of the event loop, and closing would reset the others. */
  private async acceptWaiting(): Promise<void> {
    const deadline = performance.now() + MAX_ACCEPT_MILLIS;
    let hasAccepted = true;
    const onConnection = (): void => {
      hasAccepted = true;
    };
    this.server.on('connection', onConnection);
    while (hasAccepted && performance.now() < deadline) {
      hasAccepted = false;
      await nextTurn();
    }
    this.server.off('connection', onConnection);
  }

  /** Changes the limits, except for the header size, which is fixed while the server listens. */
  resize(limits: Omit<HttpLimits, 'maxHeaderBytes' | 'maxConnections'>): void {
    this.server.headersTimeout = limits.headersMillis;
    this.server.requestTimeout = limits.requestMillis;
    this.server.keepAliveTimeout = limits.keepAliveMillis;
  }

  /**
   * Sends `Connection: close` with each response from now on. Stops accepting connections after `lameDuckMillis`, once those that wait
   * to be accepted have been; serves requests on open ones for another `idleMillis`, so that a request already on its way isn't lost;
   * then closes idle connections and waits for the rest, and for their callers to close their ends.
   */
  async stop({ idleMillis, lameDuckMillis = 0, graceMillis }: HttpStopTimes): Promise<void> {
    this.stopping = true;
    this.lingering.closeWithin(graceMillis);
    if (lameDuckMillis > 0) {
      await sleep(lameDuckMillis);
    }
    await this.acceptWaiting();
    const closed = new Promise<void>((resolve) => {
      // The HTTP server's own `close` would immediately close idle connections, on which a request may be on its way.
      NetServer.prototype.close.call(this.server, () => resolve());
    });
    let sweep: NodeJS.Timeout | undefined;
    const closeIdle = (): void => this.connections.closeIdle((socket) => socket.destroySoon());
    const idle = setTimeout(() => {
      closeIdle();
      sweep = setInterval(closeIdle, IDLE_CHECK_MILLIS);
    }, idleMillis);
    await closed;
    clearTimeout(idle);
    clearInterval(sweep);
    this.server.close(() => {});
  }
}

/** Closes connections in stages wherever the server or its users end one after its answers, and where it was idle for too long. */
function closeInStages(
  server: Server,
  connections: ServedConnections,
  lingering: LingeringConnections,
): void {
  server.on('connection', (socket: Socket) => {
    socket.destroySoon = () => lingering.close(socket, connections.idleMillis(socket));
  });
  // Without a listener the server destroys the connection.
  server.on('timeout', (socket: Socket) => {
    if (connections.hasOpenResponse(socket)) {
      socket.destroy();
    } else {
      socket.destroySoon();
    }
  });
}

/** Resolves after sockets were looked at once more. */
async function nextTurn(): Promise<void> {
  await nextImmediate();
  await nextImmediate();
}
