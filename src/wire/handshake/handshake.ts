/**
 * Mutual proof of the cluster's secret. The initiator says hello, the acceptor says hello, the initiator proves,
 * the acceptor proves. The acceptor proves nothing to an end that didn't, so a stranger gets no material to guess
 * the secret from. Pure: the nonce comes in.
 */
import { timingSafeEqual } from 'node:crypto';
import type { Greeting } from '../../control/messages.js';
import { FRAME_KINDS, type Frame } from '../frame.js';
import { HandshakeRefusedError } from '../wire-error.js';
import { helloCodec } from './hello.js';
import { computeProof, type HandshakeRole, proofCodec } from './proof.js';

export interface HandshakeOptions {
  readonly role: HandshakeRole;
  readonly greeting: Greeting;
  readonly secret: string;
  /** Random bytes, `NONCE_BYTES` long, new for each connection. */
  readonly nonce: Uint8Array;
  /** Kinds of peers that are let in. */
  readonly expects: readonly Greeting['kind'][];
}

/** What to do after a frame of the handshake. */
export interface HandshakeStep {
  readonly send: readonly Frame[];
  /** Set once the other end has proved itself. */
  readonly peer: Greeting | null;
}

export class Handshake {
  private readonly ownHello: Uint8Array;
  private peerHello: Uint8Array | undefined;
  private peer: Greeting | undefined;

  constructor(private readonly options: HandshakeOptions) {
    const { cluster, kind, name, zone } = options.greeting;
    this.ownHello = helloCodec.encode({ type: 'hello', cluster, kind, name, zone, nonce: options.nonce });
  }

  /** Frames to send as soon as the connection stands. */
  start(): readonly Frame[] {
    return this.options.role === 'initiator' ? [frameOf(FRAME_KINDS.hello, this.ownHello)] : [];
  }

  /** Takes the other end's next frame. Throws `HandshakeRefusedError` if it is a stranger. */
  receive(frame: Frame): HandshakeStep {
    if (frame.kind === FRAME_KINDS.hello && this.peer === undefined) {
      return this.takeHello(frame.payload);
    }
    if (frame.kind === FRAME_KINDS.proof && this.peer !== undefined) {
      return this.takeProof(frame.payload, this.peer);
    }
    throw new HandshakeRefusedError(`frame of kind ${frame.kind} before the handshake was done`);
  }

  private takeHello(payload: Uint8Array): HandshakeStep {
    const { cluster, kind, name, zone } = helloCodec.decode(payload);
    if (cluster !== this.options.greeting.cluster) {
      throw new HandshakeRefusedError(`it belongs to cluster ${JSON.stringify(cluster)}`);
    }
    if (!this.options.expects.includes(kind)) {
      throw new HandshakeRefusedError(`a ${kind} isn't let in here`);
    }
    this.peerHello = payload;
    this.peer = { type: 'greeting', cluster, kind, name, zone };
    const acceptor = this.options.role === 'acceptor';
    const reply = acceptor ? frameOf(FRAME_KINDS.hello, this.ownHello) : this.ownProof();
    return { send: [reply], peer: null };
  }

  private takeProof(payload: Uint8Array, peer: Greeting): HandshakeStep {
    const { mac } = proofCodec.decode(payload);
    const prover = this.options.role === 'initiator' ? 'acceptor' : 'initiator';
    if (!timingSafeEqual(mac, this.proofOf(prover))) {
      throw new HandshakeRefusedError('its proof of the secret is wrong');
    }
    return { send: this.options.role === 'acceptor' ? [this.ownProof()] : [], peer };
  }

  private ownProof(): Frame {
    const mac = this.proofOf(this.options.role);
    return frameOf(FRAME_KINDS.proof, proofCodec.encode({ type: 'proof', mac }));
  }

  private proofOf(prover: HandshakeRole): Uint8Array {
    const peerHello = this.peerHello as Uint8Array;
    const initiates = this.options.role === 'initiator';
    const initiatorHello = initiates ? this.ownHello : peerHello;
    const acceptorHello = initiates ? peerHello : this.ownHello;
    return computeProof(this.options.secret, prover, initiatorHello, acceptorHello);
  }
}

function frameOf(kind: number, payload: Uint8Array): Frame {
  return { kind, correlation: 0, payload };
}
