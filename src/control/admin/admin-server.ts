/** The HTTP server of the operators' API, with bounds against callers that send slowly or hold connections. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type Koa from 'koa';
import { TernmountError } from '../../errors/ternmount-error.js';
import type { Address } from '../../model/identifiers.js';
import { splitAddress } from '../../settings/addresses.js';
import type { AdminState } from './admin-context.js';

const HEADERS_TIMEOUT_MILLIS = 5000;
const REQUEST_TIMEOUT_MILLIS = 20_000;
const KEEP_ALIVE_MILLIS = 15_000;
const CONNECTION_CHECK_MILLIS = 1000;
const MAXIMUM_HEADER_BYTES = 16 * 1024;
const MAXIMUM_CONNECTIONS = 512;

export interface AdminServerOptions {
  readonly headersTimeoutMillis?: number;
  readonly requestTimeoutMillis?: number;
}

/** A port that can't be listened on. */
export class ListenError extends TernmountError {
  constructor(address: Address, cause: NodeJS.ErrnoException) {
    const reasons: Readonly<Record<string, string>> = {
      EADDRINUSE: 'is in use by another process',
      EADDRNOTAVAIL: "isn't an address of this machine",
      EACCES: 'needs more rights',
    };
    const reason = reasons[cause.code ?? ''] ?? `can't be listened on (${cause.message})`;
    super({ code: 'TERNMOUNT_LISTEN_FAILED', retriable: false, info: { cause } }, `${address} ${reason}`);
  }
}

/** A running server. */
export interface AdminServer {
  readonly address: Address;
  /** Stops accepting, lets requests in flight finish, then closes. */
  stop(): Promise<void>;
}

function listen(server: Server, address: Address): Promise<void> {
  const { host, port } = splitAddress(address) ?? { host: '', port: 0 };
  return new Promise((resolve, reject) => {
    server.once('error', (error) => reject(new ListenError(address, error)));
    server.listen(port, host, resolve);
  });
}

function addressOf(server: Server): Address {
  const { address, port, family } = server.address() as AddressInfo;
  return family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`;
}

/** Starts serving an app. Throws `ListenError`. */
export async function startAdminServer(
  app: Koa<AdminState>,
  address: Address,
  options: AdminServerOptions = {},
): Promise<AdminServer> {
  const server = createServer(
    {
      headersTimeout: options.headersTimeoutMillis ?? HEADERS_TIMEOUT_MILLIS,
      requestTimeout: options.requestTimeoutMillis ?? REQUEST_TIMEOUT_MILLIS,
      keepAliveTimeout: KEEP_ALIVE_MILLIS,
      connectionsCheckingInterval: CONNECTION_CHECK_MILLIS,
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
    },
    app.callback(),
  );
  server.maxConnections = MAXIMUM_CONNECTIONS;
  await listen(server, address);
  return {
    address: addressOf(server),
    stop: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeIdleConnections();
      }),
  };
}
