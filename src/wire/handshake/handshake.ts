/**
 * Mutual authentication by the cluster's secret: hello of the initiator, hello of the acceptor, proof of the initiator, proof
 * of the acceptor. The acceptor sends its proof only after verifying the initiator's, so an unauthenticated peer gets nothing for
 * an offline guess of the secret. Free of I/O: the nonce is passed in.
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
  /** `NONCE_BYTES` random bytes, new for each connection. */
  readonly nonce: Uint8Array;
  /** Accepted kinds of peers. */
  readonly expects: readonly Greeting['kind'][];
}

/** Result of processing a handshake frame. */
export interface HandshakeStep {
  readonly send: readonly Frame[];
  /** Set once the peer is authenticated. */
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

  /** Returns the frames to send as soon as the connection is established. */
  start(): readonly Frame[] {
    return this.options.role === 'initiator' ? [createFrame(FRAME_KINDS.hello, this.ownHello)] : [];
  }

  /** Processes the peer's next frame. Throws `HandshakeRefusedError` if the peer is rejected. */
  receive(frame: Frame): HandshakeStep {
    if (frame.kind === FRAME_KINDS.hello && this.peer === undefined) {
      return this.handleHello(frame.payload);
    }
    if (frame.kind === FRAME_KINDS.proof && this.peer !== undefined) {
      return this.handleProof(frame.payload, this.peer);
    }
    throw new HandshakeRefusedError(`unexpected frame of kind ${frame.kind} during the handshake`);
  }

  private handleHello(payload: Uint8Array): HandshakeStep {
    const { cluster, kind, name, zone } = helloCodec.decode(payload);
    if (cluster !== this.options.greeting.cluster) {
      throw new HandshakeRefusedError(`peer belongs to cluster ${JSON.stringify(cluster)}`);
    }
    if (!this.options.expects.includes(kind)) {
      throw new HandshakeRefusedError(`peers of kind ${kind} are not accepted here`);
    }
    this.peerHello = payload;
    this.peer = { type: 'greeting', cluster, kind, name, zone };
    const acceptor = this.options.role === 'acceptor';
    const reply = acceptor ? createFrame(FRAME_KINDS.hello, this.ownHello) : this.createOwnProof();
    return { send: [reply], peer: null };
  }

  private handleProof(payload: Uint8Array, peer: Greeting): HandshakeStep {
    const { mac } = proofCodec.decode(payload);
    const prover = this.options.role === 'initiator' ? 'acceptor' : 'initiator';
    if (!timingSafeEqual(mac, this.computeProofOf(prover))) {
      throw new HandshakeRefusedError('peer has an invalid proof of the secret');
    }
    return { send: this.options.role === 'acceptor' ? [this.createOwnProof()] : [], peer };
  }

  private createOwnProof(): Frame {
    const mac = this.computeProofOf(this.options.role);
    return createFrame(FRAME_KINDS.proof, proofCodec.encode({ type: 'proof', mac }));
  }

  private computeProofOf(prover: HandshakeRole): Uint8Array {
    const peerHello = this.peerHello as Uint8Array;
    const initiates = this.options.role === 'initiator';
    const initiatorHello = initiates ? this.ownHello : peerHello;
    const acceptorHello = initiates ? peerHello : this.ownHello;
    return computeProof(this.options.secret, prover, initiatorHello, acceptorHello);
  }
}

function createFrame(kind: number, payload: Uint8Array): Frame {
  return { kind, correlation: 0, payload };
}
