/** Starts and stops HTTP servers of stand-ins. */
import { createServer, type RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';
import { parseAddress } from '../../wire/address.js';

export interface RunningServer {
  /** `host:port` that it really listens on. */
  readonly address: string;
  /** Stops accepting, ends idle connections and waits for the others. */
  close(): Promise<void>;
}

/** Serves `listener` at `address`; port 0 takes any free one. */
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
