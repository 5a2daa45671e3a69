/**
 * Task that owns one TCP socket between two of the system's processes: handshake, frames in and out, heartbeats that
 * find a half-open connection, and a bounded send queue. Its owner gets calls, one at a time, and never touches the socket.
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
  /** Bytes that may wait for the socket; frames beyond are dropped. */
  readonly maxQueuedBytes: number;
  readonly pingMillis: number;
  /** A connection on which nothing was heard this long is closed. */
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

/** What both ends of a connection share. */
export interface WireIdentity {
  readonly greeting: Greeting;
  readonly secret: string;
  readonly expects: readonly Greeting['kind'][];
}

/** Told of what happens on a connection, in order; `closed` comes once and last. */
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
  private heardAt = this.openedAt;
  private checkedAt = this.openedAt;
  private wroteAt = this.openedAt;
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
    socket.on('data', (chunk: Buffer) => this.takeBytes(chunk));
    socket.on('error', (error) => this.destroy(error));
    socket.on('end', () => this.destroy(null));
    socket.on('close', () => this.finish());
    for (const frame of this.handshake.start()) {
      this.write(frame);
    }
  }

  /** The other end, once it has proved itself. */
  get peer(): Greeting | null {
    return this.peerGreeting;
  }

  /** Queues a frame. Nothing is said of its arrival. Throws `FrameTooLargeError`. */
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

  /** Closes at once; what is queued is lost. */
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
    this.wroteAt = performance.now();
    this.socket.write(encodeFrame(frame, this.limits.maxFrameBytes));
  }

  private takeBytes(chunk: Buffer): void {
    this.heardAt = performance.now();
    try {
      for (const frame of this.decoder.read(chunk)) {
        this.takeFrame(frame);
      }
    } catch (thrown) {
      this.destroy(toError(thrown));
    }
  }

  private takeFrame(frame: Frame): void {
    if (this.done) {
      return;
    }
    if (this.peerGreeting === null) {
      this.takeHandshake(frame);
    } else if (frame.kind === FRAME_KINDS.ping) {
      this.write({ kind: FRAME_KINDS.pong, correlation: frame.correlation, payload: frame.payload });
    } else if (frame.kind !== FRAME_KINDS.pong) {
      this.owner.received(this, frame);
    }
  }

  private takeHandshake(frame: Frame): void {
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

  /** Pings, and closes a connection that is silent. A check that is itself late, as after a pause, closes nothing. */
  private check(): void {
    const now = performance.now();
    const late = now - this.checkedAt > this.limits.pingMillis * 2;
    this.checkedAt = now;
    if (late) {
      this.heardAt = now;
    }
    const silentMillis = Math.round(now - this.heardAt);
    if (silentMillis >= this.limits.silentMillis) {
      this.destroy(new PeerSilentError(silentMillis));
      return;
    }
    if (this.peerGreeting === null) {
      if (now - this.openedAt >= this.limits.handshakeMillis && !late) {
        this.destroy(new HandshakeRefusedError('the handshake took too long'));
      }
      return;
    }
    this.pingIfQuiet(now);
  }

  /**
   * The other end needs to hear something of this one, and this end of the other. What was written since the check
   * before does for the first, and the other end's own checks for the second.
   */
  private pingIfQuiet(now: number): void {
    if (now - this.wroteAt < this.limits.pingMillis * QUIET_SHARE) {
      return;
    }
    this.pings = (this.pings + 1) % 2 ** 32;
    this.write({ kind: FRAME_KINDS.ping, correlation: this.pings, payload: NO_BYTES });
  }
}

/** A frame written within this share of the time between pings stands in for a ping. */
const QUIET_SHARE = 0.5;
const NO_BYTES = new Uint8Array(0);
/** Largest frame of an end that has not proved itself yet; names and nonce fit. */
const HANDSHAKE_FRAME_BYTES = 4096;
