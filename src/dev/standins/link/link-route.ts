/**
 * One address that the link listens on. It refuses connections while its target does, so that a caller can distinguish
 * a request that never reached the target from one that was lost on the way, as it could without the link.
 */
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { formatAddress, type HostAndPort, parseAddress } from '../../../wire/address.js';

const PROBE_MILLIS = 50;

/** Handles an incoming connection; calls `onRefused` if the target doesn't accept connections. */
export type AcceptConnection = (inbound: Socket, onRefused: () => void) => void;

export class LinkRouteListener {
  /** Has the actual port once the listener was open. */
  #listen: HostAndPort;
  readonly #target: HostAndPort;
  readonly #accept: AcceptConnection;
  #server: Server | undefined;
  #probeTimer: NodeJS.Timeout | undefined;
  #stopped = false;

  constructor(listen: string, target: string, accept: AcceptConnection) {
    this.#listen = parseAddress(listen);
    this.#target = parseAddress(target);
    this.#accept = accept;
  }

  get address(): string {
    return formatAddress(this.#listen);
  }

  async open(): Promise<void> {
    const server = createServer({ allowHalfOpen: true }, (inbound) =>
      this.#accept(inbound, () => this.#refuse()),
    );
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.#listen.port, this.#listen.host, resolve);
    });
    this.#listen = { ...this.#listen, port: (server.address() as AddressInfo).port };
    this.#server = server;
  }

  close(): void {
    this.#stopped = true;
    clearTimeout(this.#probeTimer);
    this.#server?.close();
  }

  /** Refuses new connections until the target accepts one again. */
  #refuse(): void {
    if (this.#probeTimer === undefined && !this.#stopped) {
      this.#server?.close();
      this.#probeLater();
    }
  }

  #probeLater(): void {
    this.#probeTimer = setTimeout(() => this.#probe(), PROBE_MILLIS);
  }

  #probe(): void {
    const socket = connect(this.#target);
    socket.once('error', () => {
      if (!this.#stopped) {
        this.#probeLater();
      }
    });
    socket.once('connect', () => {
      socket.destroy();
      this.#probeTimer = undefined;
      if (!this.#stopped) {
        void this.open();
      }
    });
  }
}
