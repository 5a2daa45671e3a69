/** One connection of another router: handshake, request, then bytes to and from the upstream until either end closes. */
import { randomBytes } from 'node:crypto';
import { connect, type Socket } from 'node:net';
import { toError } from '../../errors/ternmount-error.js';
import type { Logger } from '../../logging/logger.js';
import type { Address, UpstreamId } from '../../model/identifiers.js';
import type { RelayTarget } from '../../routing/paths/path-watch.js';
import { Handshake } from '../../wire/handshake/handshake.js';
import { NONCE_BYTES } from '../../wire/handshake/hello.js';
import {
  DEFAULT_MAX_FRAME_BYTES,
  encodeFrame,
  FRAME_KINDS,
  type Frame,
  FrameDecoder,
  HandshakeRefusedError,
  parseAddress,
  type WireIdentity,
} from '../../wire/index.js';
import { type RelayResult, relayOpenCodec, relayOpenedCodec } from '../../wire/relay/relay-messages.js';
import { settle } from '../attempts/settled-connector.js';
import { SocketConnection } from '../attempts/socket-connection.js';
import type { UpstreamConnection } from '../attempts/upstream-connection.js';
import { MAX_DATA_BYTES, RelayStream } from './relay-stream.js';

/** Time in which a router has to say what it wants. */
const HANDSHAKE_MILLIS = 1000;
/** Largest frame of a handshake and request. */
const HANDSHAKE_FRAME_BYTES = 4096;
/** Largest frame afterwards, with its header. */
const DATA_FRAME_BYTES = MAX_DATA_BYTES + 64;
/** Time limit for connecting to an upstream. The asking router waits longer, and asks several relays. */
const CONNECT_MILLIS = 150;
/** A carried connection without bytes in either direction is closed; longer than any answer may pause. */
const IDLE_MILLIS = 60_000;

export interface CarriedConnectionOptions {
  readonly identity: WireIdentity;
  readonly localAddress?: string | undefined;
  readonly log: Logger;
  readonly targetOf: (upstream: UpstreamId, answer: (target: RelayTarget) => void) => void;
  /** Why no further connection may be opened; `null`: one may. */
  readonly refusal: () => 'busy' | 'stopping' | null;
  /** Called with the number of bytes that were carried. */
  readonly carried: (bytes: number) => void;
  readonly closed: () => void;
}

export class CarriedConnection {
  readonly #socket: Socket;
  readonly #options: CarriedConnectionOptions;
  readonly #decoder = new FrameDecoder(HANDSHAKE_FRAME_BYTES);
  readonly #handshake: Handshake;
  readonly #timer: NodeJS.Timeout;
  #isVerified = false;
  #hasRequest = false;
  /** The connection to the upstream, as a socket until it is open. */
  #upstream: Socket | UpstreamConnection | null = null;
  #stream: RelayStream | null = null;
  #peer = '';

  constructor(socket: Socket, options: CarriedConnectionOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#handshake = new Handshake({
      ...options.identity,
      role: 'acceptor',
      nonce: randomBytes(NONCE_BYTES),
    });
    this.#timer = setTimeout(() => socket.destroy(), HANDSHAKE_MILLIS);
    socket.on('data', this.#onData);
    socket.on('error', this.#onError);
    socket.on('close', () => this.#onClose());
  }

  announceClosing(): void {
    this.#stream?.announceClosing();
  }

  close(): void {
    this.#socket.destroy();
  }

  readonly #onData = (chunk: Buffer): void => {
    try {
      for (const frame of this.#decoder.read(chunk)) {
        this.#receive(frame);
      }
    } catch (thrown) {
      this.#refuse(toError(thrown));
    }
  };

  /** The end of a connection between routers needs no line of its own: the attempt at the other end has one. */
  readonly #onError = (): void => {};

  #onClose(): void {
    clearTimeout(this.#timer);
    this.#upstream?.destroy();
    this.#options.closed();
  }

  #refuse(reason: Error): void {
    this.#options.log.warn('relay-refused', { router: this.#peer, reason });
    this.#socket.destroy();
  }

  #receive(frame: Frame): void {
    if (this.#hasRequest) {
      throw new HandshakeRefusedError('the router sends before its connection is open');
    }
    if (!this.#isVerified) {
      const { send, peer } = this.#handshake.receive(frame);
      this.#send(send);
      this.#peer = peer?.name ?? this.#peer;
      this.#isVerified = peer !== null;
      return;
    }
    if (frame.kind !== FRAME_KINDS.relayOpen) {
      throw new HandshakeRefusedError(`unexpected frame of kind ${frame.kind} after the handshake`);
    }
    this.#hasRequest = true;
    clearTimeout(this.#timer);
    this.#open(relayOpenCodec.decode(frame.payload).upstream);
  }

  #open(upstream: UpstreamId): void {
    const refusal = this.#options.refusal();
    if (refusal !== null) {
      this.#answer(upstream, refusal);
      return;
    }
    this.#options.targetOf(upstream, (target) => {
      if (target.type === 'address') {
        this.#connect(upstream, target.address);
      } else {
        this.#answer(upstream, target.type);
      }
    });
  }

  #connect(upstream: UpstreamId, address: Address): void {
    const { localAddress } = this.#options;
    const socket = connect({
      ...parseAddress(address),
      noDelay: true,
      allowHalfOpen: true,
      ...(localAddress && { localAddress }),
    });
    this.#upstream = socket;
    const fail = (result: RelayResult): void => {
      clearTimeout(timer);
      socket.destroy();
      this.#answer(upstream, result);
    };
    const onError = ({ code }: NodeJS.ErrnoException): void =>
      fail(code === 'ECONNREFUSED' ? 'refused' : 'silent');
    // What has arrived while this process was held up is handled before the limit counts.
    const onLimit = (): void => void setImmediate(() => socket.connecting && fail('silent'));
    const timer = setTimeout(onLimit, CONNECT_MILLIS);
    socket.once('error', onError);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', onError);
      settle(socket, (isOpen) => {
        if (isOpen) {
          this.#carry(upstream, new SocketConnection(socket));
        } else {
          this.#answer(upstream, 'turned-away');
        }
      });
    });
  }

  #answer(upstream: UpstreamId, result: RelayResult): void {
    if (this.#socket.destroyed) {
      return;
    }
    if (result !== 'open') {
      this.#options.log.debug('relay-not-opened', { router: this.#peer, upstream, result });
    }
    const payload = relayOpenedCodec.encode({ type: 'relay-opened', result });
    this.#send([{ kind: FRAME_KINDS.relayOpened, correlation: 0, payload }]);
    if (result !== 'open') {
      this.#socket.end();
    }
  }

  #carry(id: UpstreamId, upstream: SocketConnection): void {
    if (this.#socket.destroyed) {
      upstream.destroy();
      return;
    }
    // A stop that has begun meanwhile was announced to open connections alone.
    if (this.#options.refusal() === 'stopping') {
      upstream.destroy();
      this.#answer(id, 'stopping');
      return;
    }
    this.#answer(id, 'open');
    this.#decoder.maxFrameBytes = DATA_FRAME_BYTES;
    this.#socket.off('data', this.#onData);
    const stream = new RelayStream(this.#socket, this.#decoder);
    this.#stream = stream;
    this.#join(upstream, stream);
    this.#join(stream, upstream);
    upstream.on('error', () => stream.reset());
    upstream.on('close', () => {
      if (upstream.errored === null && upstream.readableEnded) {
        stream.end();
      } else {
        stream.reset();
      }
    });
    // What a router gave up is not to arrive later.
    stream.on('error', () => resetUnlessClosing(upstream));
    stream.on('close', () => upstream.destroy());
    this.#socket.setTimeout(IDLE_MILLIS, () => this.#socket.destroy());
  }

  /** Carries one direction; reading pauses while the other end doesn't take more. */
  #join(from: UpstreamConnection, to: UpstreamConnection): void {
    from.on('data', (chunk: Buffer) => {
      this.#options.carried(chunk.length);
      if (!to.write(chunk)) {
        from.pause();
      }
    });
    to.on('drain', () => from.resume());
    from.on('end', () => to.end());
  }

  #send(frames: readonly Frame[]): void {
    for (const frame of frames) {
      this.#socket.write(encodeFrame(frame, DEFAULT_MAX_FRAME_BYTES));
    }
  }
}

/** The system can't reset a connection that it is closing already. */
function resetUnlessClosing(upstream: UpstreamConnection): void {
  if (upstream.destroyed || upstream.writableEnded) {
    upstream.destroy();
  } else {
    upstream.resetAndDestroy();
  }
}
