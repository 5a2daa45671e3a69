/**
 * One address that the link listens on. It refuses connections while the process behind it does, so that a caller can
 * tell "never reached it" from "lost on the way" as it could without the link.
 */
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { formatAddress, type HostAndPort, parseAddress } from '../../../wire/address.js';

const PROBE_MILLIS = 50;

/** Takes a connection that came in; calls `refused` if the process behind doesn't accept one. */
export type AcceptConnection = (inbound: Socket, refused: () => void) => void;

export class LinkRouteListener {
  /** With the real port once it was open. */
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

  /** Refuses new connections until the process behind accepts one again. */
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
