/** Task that keeps one outgoing connection alive: dials, reconnects with backoff and jitter, and passes frames on. */
import { connect, type Socket } from 'node:net';
import type { Greeting } from '../control/messages.js';
import type { Address } from '../model/identifiers.js';
import { parseAddress } from './address.js';
import type { Frame } from './frame.js';
import { FrameConnection, type SendResult, type WireIdentity, type WireLimits } from './frame-connection.js';

export interface BackoffTimings {
  readonly firstMillis: number;
  readonly maxMillis: number;
}

const MOST_DOUBLINGS = 20;

export const DEFAULT_BACKOFF: BackoffTimings = { firstMillis: 50, maxMillis: 500 };

/**
 * A machine that has no power yet doesn't even refuse, and what was sent to it is sent again only after a second or more; so the
 * first tries to connect are short.
 */
const FIRST_DIAL_MILLIS = 200;

/** How long a connection may take to come up after so many failures in a row, in milliseconds. */
export function dialMillis(failures: number, limits: Pick<WireLimits, 'handshakeMillis'>): number {
  return Math.min(limits.handshakeMillis, FIRST_DIAL_MILLIS * 2 ** Math.min(failures, MOST_DOUBLINGS));
}

export interface FrameClientOptions {
  readonly address: Address;
  /** Own IP number from which the connection goes out; the system's choice if left out. */
  readonly localAddress?: string | undefined;
  readonly identity: WireIdentity;
  readonly limits: WireLimits;
  readonly backoff?: BackoffTimings;
  /** 0 to below 1; spreads reconnects of many processes. */
  readonly random?: () => number;
  readonly onReady?: (peer: Greeting) => void;
  readonly onFrame?: (frame: Frame) => void;
  /** A connection ended or could not be made; another try follows. */
  readonly onLost?: (reason: Error | null) => void;
}

export class FrameClient {
  private connection: FrameConnection | undefined;
  private dialing: Socket | undefined;
  private retryTimer: NodeJS.Timeout | undefined;
  private failures = 0;
  private stopped = false;

  constructor(private readonly options: FrameClientOptions) {
    this.dial();
  }

  /** Whether the handshake of a connection is done. */
  get ready(): boolean {
    return this.connection?.peer != null;
  }

  send(kind: number, payload: Uint8Array): SendResult {
    return this.connection?.send(kind, payload) ?? 'not-connected';
  }

  /** Ends the connection and all further tries. */
  stop(): void {
    this.stopped = true;
    clearTimeout(this.retryTimer);
    this.dialing?.destroy();
    this.connection?.destroy(null);
  }

  private dial(): void {
    const { address, localAddress } = this.options;
    const socket = connect({ ...parseAddress(address), ...(localAddress && { localAddress }) });
    this.dialing = socket;
    const dialTimer = setTimeout(() => socket.destroy(), dialMillis(this.failures, this.options.limits));
    const failed = (reason: Error | null): void => {
      clearTimeout(dialTimer);
      this.lost(reason);
    };
    let dialError: Error | null = null;
    const onError = (error: Error): void => {
      dialError = error;
    };
    const onClose = (): void => failed(dialError);
    socket.once('error', onError);
    socket.once('close', onClose);
    socket.once('connect', () => {
      clearTimeout(dialTimer);
      socket.off('error', onError);
      socket.off('close', onClose);
      this.dialing = undefined;
      this.adopt(socket);
    });
  }

  private adopt(socket: Socket): void {
    this.connection = new FrameConnection(socket, 'initiator', this.options.identity, this.options.limits, {
      ready: (_connection, peer) => {
        this.failures = 0;
        this.options.onReady?.(peer);
      },
      received: (_connection, frame) => this.options.onFrame?.(frame),
      closed: (_connection, reason) => this.lost(reason),
    });
  }

  private lost(reason: Error | null): void {
    this.connection = undefined;
    this.dialing = undefined;
    if (this.stopped) {
      return;
    }
    this.retryTimer = setTimeout(() => this.dial(), this.backoffMillis());
    this.failures += 1;
    this.options.onLost?.(reason);
  }

  /** Doubles up to the bound; half of it is random. */
  private backoffMillis(): number {
    const { firstMillis, maxMillis } = this.options.backoff ?? DEFAULT_BACKOFF;
    const random = this.options.random ?? Math.random;
    const full = Math.min(maxMillis, firstMillis * 2 ** Math.min(this.failures, MOST_DOUBLINGS));
    return full / 2 + (random() * full) / 2;
  }
}
