/** Task that owns an HTTP server: listens, bounds slow callers, and stops without cutting off an answer. */
import { createServer, type RequestListener, type Server } from 'node:http';
import { type AddressInfo, Server as NetServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Address } from '../../model/identifiers.js';
import { formatAddress, parseAddress } from '../address.js';
import { ListenError } from '../listen-error.js';
import { type DescribeFault, RequestFaults } from './request-faults.js';

export interface HttpLimits {
  readonly maxHeaderBytes: number;
  /** Time in which the header of a request must arrive. */
  readonly headersMillis: number;
  /** Time in which a whole request must arrive. */
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
  /** Whether requests without a Host header are turned away before the listener hears of them; yes if left out. */
  readonly requireHost?: boolean;
  /** Words the answers to what is no request. */
  readonly describeFault?: DescribeFault;
}

const describePlainly: DescribeFault = (fault) => ({ headers: {}, body: { error: fault } });

const LISTEN_BACKLOG = 4096;
const CONNECTIONS_CHECK_MILLIS = 1000;
const IDLE_CHECK_MILLIS = 20;

/** Times of a planned stop, in milliseconds. */
export interface HttpStopTimes {
  /** How long requests on open connections are still answered once no connection is taken any more. */
  readonly idleMillis: number;
  /** How long connections are still taken; 0 if left out. */
  readonly lameDuckMillis?: number;
}

export class HttpListener {
  private stopping = false;

  private constructor(private readonly server: Server) {}

  /** Listens. Throws `ListenError`. */
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
    new RequestFaults(server, options.describeFault ?? describePlainly);
    server.maxConnections = limits.maxConnections;
    const listener = new HttpListener(server);
    server.on('request', (request, response) => {
      if (listener.stopping) {
        // As a header it would make Node keep only the last of several headers of one name.
        response.shouldKeepAlive = false;
      }
      onRequest(request, response);
    });
    // An expectation that nobody knows is no reason to turn a request away (RFC 9110, 10.1.1).
    server.on('checkExpectation', (request, response) => server.emit('request', request, response));
    const { host, port } = parseAddress(address);
    await new Promise<void>((resolve, reject) => {
      const refuse = (error: Error): void => reject(new ListenError(address, error));
      server.once('error', refuse);
      server.listen({ host, port, backlog: LISTEN_BACKLOG }, () => {
        server.off('error', refuse);
        resolve();
      });
    });
    return listener;
  }

  /** Where it listens, with the real port. */
  get address(): Address {
    const { address, port } = this.server.address() as AddressInfo;
    return formatAddress({ host: address, port });
  }

  /** Takes over other bounds; those of a header's size can't be changed while it listens. */
  resize(limits: Omit<HttpLimits, 'maxHeaderBytes' | 'maxConnections'>): void {
    this.server.headersTimeout = limits.headersMillis;
    this.server.requestTimeout = limits.requestMillis;
    this.server.keepAliveTimeout = limits.keepAliveMillis;
  }

  /**
   * Stops taking connections, after `lameDuckMillis` in which each answer says `Connection: close`; answers what still comes in on open ones for `idleMillis`, with `Connection: close`,
   * so that a request which crosses with the stop isn't lost; then closes idle connections and waits for the rest.
   */
  async stop({ idleMillis, lameDuckMillis = 0 }: HttpStopTimes): Promise<void> {
    this.stopping = true;
    if (lameDuckMillis > 0) {
      await sleep(lameDuckMillis);
    }
    const closed = new Promise<void>((resolve) => {
      // The HTTP server's own close would at once cut idle connections, on which a request may be under way.
      NetServer.prototype.close.call(this.server, () => resolve());
    });
    let sweep: NodeJS.Timeout | undefined;
    const grace = setTimeout(() => {
      this.server.closeIdleConnections();
      sweep = setInterval(() => this.server.closeIdleConnections(), IDLE_CHECK_MILLIS);
    }, idleMillis);
    await closed;
    clearTimeout(grace);
    clearInterval(sweep);
    this.server.close(() => {});
  }
}
