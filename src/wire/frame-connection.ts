/**
 * Owns one TCP socket between two processes of the system: handshake, frames in both directions, pings that detect a
 * half-open connection, and a bounded send queue. Its owner gets callbacks, one at a time, and never accesses the socket.
 */
import { randomBytes } from 'node:crypto';
import type { Socket } from 'node:net';
import type { Greeting } from '../control/messages.js';
import { toError } from '../errors/ternmount-error.js';
import { DEFAULT_MAX_FRAME_BYTES, encodeFrame, FRAME_KINDS, type Frame, FrameDecoder } from './frame.js';
import { Handshake } from './handshake/handshake.js';
import { NONCE_BYTES } from './handshake/hello.js';
import type { HandshakeRole } from './handshake/proof.js';
import { HandshakeRefusedError, PeerSilentError } from './wire-error.js';

export interface WireLimits {
  readonly maxFrameBytes: number;
  /** Bytes that may be queued for the socket; further frames are dropped. */
  readonly maxQueuedBytes: number;
  readonly pingMillis: number;
  /** A connection on which nothing is received for this long is closed. */
  readonly silentMillis: number;
  readonly handshakeMillis: number;
}

export const DEFAULT_WIRE_LIMITS: WireLimits = {
  maxFrameBytes: DEFAULT_MAX_FRAME_BYTES,
  maxQueuedBytes: 64 * 1024 * 1024,
  pingMillis: 250,
  silentMillis: 1000,
  handshakeMillis: 1000,
};

/** Identity of this end, and what it expects of the peer. */
export interface WireIdentity {
  readonly greeting: Greeting;
  readonly secret: string;
  readonly expects: readonly Greeting['kind'][];
}

/** Callbacks for the events of a connection, in order; `closed` is called once, as the last one. */
export interface FrameConnectionOwner {
  ready(connection: FrameConnection, peer: Greeting): void;
  received(connection: FrameConnection, frame: Frame): void;
  closed(connection: FrameConnection, reason: Error | null): void;
}

export type SendResult = 'queued' | 'queue-full' | 'not-connected';

export class FrameConnection {
  private readonly decoder: FrameDecoder;
  private readonly handshake: Handshake;
  private readonly timer: NodeJS.Timeout;
  private peerGreeting: Greeting | null = null;
  private closeReason: Error | null = null;
  private done = false;
  private readonly openedAt = performance.now();
  private lastReceivedAt = this.openedAt;
  private lastCheckedAt = this.openedAt;
  private lastWrittenAt = this.openedAt;
  private pings = 0;

  constructor(
    private readonly socket: Socket,
    role: HandshakeRole,
    identity: WireIdentity,
    private readonly limits: WireLimits,
    private readonly owner: FrameConnectionOwner,
  ) {
    this.decoder = new FrameDecoder(Math.min(HANDSHAKE_FRAME_BYTES, limits.maxFrameBytes));
    this.handshake = new Handshake({ ...identity, role, nonce: randomBytes(NONCE_BYTES) });
    this.timer = setInterval(() => this.check(), limits.pingMillis);
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.handleBytes(chunk));
    socket.on('error', (error) => this.destroy(error));
    socket.on('end', () => this.destroy(null));
    socket.on('close', () => this.finish());
    for (const frame of this.handshake.start()) {
      this.write(frame);
    }
  }

  /** The peer, once its proof has been verified. */
  get peer(): Greeting | null {
    return this.peerGreeting;
  }

  /** Queues a frame, without a guarantee of delivery. Throws `FrameTooLargeError`. */
  send(kind: number, payload: Uint8Array): SendResult {
    if (this.peerGreeting === null || this.done) {
      return 'not-connected';
    }
    if (this.socket.writableLength + payload.length > this.limits.maxQueuedBytes) {
      return 'queue-full';
    }
    this.write({ kind, correlation: 0, payload });
    return 'queued';
  }

  /** Closes immediately; queued frames are lost. */
  destroy(reason: Error | null): void {
    if (!this.done) {
      this.done = true;
      this.closeReason = reason;
      clearInterval(this.timer);
      this.socket.destroy();
    }
  }

  private finish(): void {
    this.done = true;
    clearInterval(this.timer);
    this.owner.closed(this, this.closeReason);
  }

  private write(frame: Frame): void {
    this.lastWrittenAt = performance.now();
    this.socket.write(encodeFrame(frame, this.limits.maxFrameBytes));
  }

  private handleBytes(chunk: Buffer): void {
    this.lastReceivedAt = performance.now();
    try {
      for (const frame of this.decoder.read(chunk)) {
        this.handleFrame(frame);
      }
    } catch (thrown) {
      this.destroy(toError(thrown));
    }
  }

  private handleFrame(frame: Frame): void {
    if (this.done) {
      return;
    }
    if (this.peerGreeting === null) {
      this.handleHandshakeFrame(frame);
    } else if (frame.kind === FRAME_KINDS.ping) {
      this.write({ kind: FRAME_KINDS.pong, correlation: frame.correlation, payload: frame.payload });
    } else if (frame.kind !== FRAME_KINDS.pong) {
      this.owner.received(this, frame);
    }
  }

  private handleHandshakeFrame(frame: Frame): void {
    const step = this.handshake.receive(frame);
    for (const reply of step.send) {
      this.write(reply);
    }
    if (step.peer !== null) {
      this.peerGreeting = step.peer;
      this.decoder.maxFrameBytes = this.limits.maxFrameBytes;
      this.owner.ready(this, step.peer);
    }
  }

  /** Pings the peer, and closes a silent connection. A check that is itself late, as after a suspension, closes nothing. */
  private check(): void {
    const now = performance.now();
    const isLate = now - this.lastCheckedAt > this.limits.pingMillis * 2;
    this.lastCheckedAt = now;
    if (isLate) {
      this.lastReceivedAt = now;
    }
    const silentMillis = Math.round(now - this.lastReceivedAt);
    if (silentMillis >= this.limits.silentMillis) {
      this.destroy(new PeerSilentError(silentMillis));
      return;
    }
    if (this.peerGreeting === null) {
      if (now - this.openedAt >= this.limits.handshakeMillis && !isLate) {
        this.destroy(new HandshakeRefusedError('handshake timed out'));
      }
      return;
    }
    this.pingIfQuiet(now);
  }

  /**
   * Each end must receive something from the other regularly. A frame written since the previous check makes a ping
   * unnecessary; the peer's own checks make it send to this end.
   */
  private pingIfQuiet(now: number): void {
    if (now - this.lastWrittenAt < this.limits.pingMillis * QUIET_SHARE) {
      return;
    }
    this.pings = (this.pings + 1) % 2 ** 32;
    this.write({ kind: FRAME_KINDS.ping, correlation: this.pings, payload: NO_BYTES });
  }
}

/** A frame written within this share of the ping interval replaces a ping. */
const QUIET_SHARE = 0.5;
const NO_BYTES = new Uint8Array(0);
/** Maximum frame size before the peer is verified; enough for names and nonce. */
const HANDSHAKE_FRAME_BYTES = 4096;
