/**
 * Prevents two fleets on one machine from using the same addresses: a fleet holds a listening socket at a fixed address
 * of its network while it runs, and uses the next network if that address is in use.
 */
import { createServer, type Server } from 'node:net';
import { TernmountError, toError } from '../../errors/ternmount-error.js';
import type { NetworkNumber } from './address-plan.js';

/** No zone has this number, so no process of a fleet has the address. */
const RESERVED_ZONE = 255;
const RESERVED_HOST = 1;
const RESERVED_PORT = 8000;
/** Number of networks tried, starting with the preferred one. */
export const MAX_NETWORKS_TRIED = 64;
const LAST_NETWORK = 254;

/** Every network that was tried is in use. */
export class NoFreeNetworkError extends TernmountError {
  constructor(preferred: NetworkNumber) {
    const options = { code: 'TERNMOUNT_NO_FREE_NETWORK', retriable: true, info: { preferred } };
    super(options, `no free network from 127.${preferred}.0.0 on`);
  }
}

/** A network that no other fleet can reserve until it is released or this process ends. */
export interface NetworkReservation {
  readonly network: NetworkNumber;
  release(): Promise<void>;
}

/** Listens at `host`; returns `undefined` if the address is in use. */
function listen(host: string): Promise<Server | undefined> {
  return new Promise((resolve, reject) => {
    const server = createServer((socket) => socket.destroy());
    server.once('listening', () => resolve(server));
    server.once('error', (thrown) => {
      const { code } = thrown as NodeJS.ErrnoException;
      if (code === 'EADDRINUSE') {
        resolve(undefined);
      } else {
        reject(toError(thrown));
      }
    });
    server.listen({ host, port: RESERVED_PORT, exclusive: true });
  });
}

/** Reserves the preferred network, or the next free one after it. Throws `NoFreeNetworkError`. */
export async function reserveNetwork(preferred: NetworkNumber): Promise<NetworkReservation> {
  const last = Math.min(LAST_NETWORK, preferred + MAX_NETWORKS_TRIED - 1);
  for (let network = preferred; network <= last; network += 1) {
    const server = await listen(`127.${network}.${RESERVED_ZONE}.${RESERVED_HOST}`);
    if (server !== undefined) {
      return { network, release: () => new Promise((resolve) => server.close(() => resolve())) };
    }
  }
  throw new NoFreeNetworkError(preferred);
}
