/** Maintains one outgoing connection: connects, reconnects with backoff and jitter, and forwards frames. */
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

const MAX_DOUBLINGS = 20;

export const DEFAULT_BACKOFF: BackoffTimings = { firstMillis: 50, maxMillis: 500 };

/**
 * Initial connect timeout. A machine without power doesn't refuse connections, and TCP retransmits to it only after a second or
 * more, so the first attempts are short.
 */
const FIRST_DIAL_TIMEOUT_MILLIS = 200;

/** Returns the connect timeout after this number of consecutive failures. */
export function connectTimeoutMillis(failures: number, limits: Pick<WireLimits, 'handshakeMillis'>): number {
  return Math.min(limits.handshakeMillis, FIRST_DIAL_TIMEOUT_MILLIS * 2 ** Math.min(failures, MAX_DOUBLINGS));
}

export interface FrameClientOptions {
  readonly address: Address;
  /** Local IP address of the connection; chosen by the operating system if omitted. */
  readonly localAddress?: string | undefined;
  readonly identity: WireIdentity;
  readonly limits: WireLimits;
  readonly backoff?: BackoffTimings;
  /** Returns 0 to below 1; spreads the reconnects of many processes. */
  readonly random?: () => number;
  readonly onReady?: (peer: Greeting) => void;
  readonly onFrame?: (frame: Frame) => void;
  /** Called when a connection ended or could not be established; another attempt follows. */
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

  /** Whether the handshake of the connection is complete. */
  get ready(): boolean {
    return this.connection?.peer != null;
  }

  send(kind: number, payload: Uint8Array): SendResult {
    return this.connection?.send(kind, payload) ?? 'not-connected';
  }

  /** Closes the connection and stops reconnecting. */
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
    const dialTimer = setTimeout(
      () => socket.destroy(),
      connectTimeoutMillis(this.failures, this.options.limits),
    );
    const onFailure = (reason: Error | null): void => {
      clearTimeout(dialTimer);
      this.handleLoss(reason);
    };
    let dialError: Error | null = null;
    const onError = (error: Error): void => {
      dialError = error;
    };
    const onClose = (): void => onFailure(dialError);
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
      closed: (_connection, reason) => this.handleLoss(reason),
    });
  }

  private handleLoss(reason: Error | null): void {
    this.connection = undefined;
    this.dialing = undefined;
    if (this.stopped) {
      return;
    }
    this.retryTimer = setTimeout(() => this.dial(), this.backoffMillis());
    this.failures += 1;
    this.options.onLost?.(reason);
  }

  /** Doubles with each failure up to the maximum; half of it is random. */
  private backoffMillis(): number {
    const { firstMillis, maxMillis } = this.options.backoff ?? DEFAULT_BACKOFF;
    const random = this.options.random ?? Math.random;
    const full = Math.min(maxMillis, firstMillis * 2 ** Math.min(this.failures, MAX_DOUBLINGS));
    return full / 2 + (random() * full) / 2;
  }
}
