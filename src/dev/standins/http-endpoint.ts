/** Starts and stops HTTP servers of stand-ins. */
import { createServer, type RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';
import { parseAddress } from '../../wire/address.js';

export interface RunningServer {
  /** The actual `host:port`, also if port 0 was requested. */
  readonly address: string;
  /** Stops accepting connections, closes idle ones and waits for the others. */
  close(): Promise<void>;
}

/** Serves `listener` at `address`; port 0 selects a free port. */
export async function listenHttp(listener: RequestListener, address: string): Promise<RunningServer> {
  const { host, port } = parseAddress(address);
  const server = createServer(listener);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const bound = server.address() as AddressInfo;
  const close = (): Promise<void> =>
    new Promise((resolve) => {
      server.close(() => resolve());
      server.closeIdleConnections();
    });
  return { address: `${bound.address}:${bound.port}`, close };
}
