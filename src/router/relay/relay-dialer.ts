/** Opens connections to upstreams over other routers. */
import { randomBytes } from 'node:crypto';
import { connect, type Socket } from 'node:net';
import { toError } from '../../errors/ternmount-error.js';
import type { RouterId, UpstreamId } from '../../model/identifiers.js';
import type { RelayPeer } from '../../model/relay.js';
import { Handshake } from '../../wire/handshake/handshake.js';
import { NONCE_BYTES } from '../../wire/handshake/hello.js';
import {
  DEFAULT_MAX_FRAME_BYTES,
  encodeFrame,
  FRAME_KINDS,
  type Frame,
  FrameDecoder,
  parseAddress,
  type WireIdentity,
} from '../../wire/index.js';
import { relayOpenCodec, relayOpenedCodec } from '../../wire/relay/relay-messages.js';
import { RelayLostError, RelayOpenError } from './relay-error.js';
import { RelayStream } from './relay-stream.js';

export interface RelayDialerOptions {
  readonly identity: WireIdentity;
  readonly localAddress?: string | undefined;
  /** Called when a relay says that it stops. */
  readonly onClosing: (router: RouterId) => void;
}

export interface RelayDial {
  readonly peer: RelayPeer;
  readonly upstream: UpstreamId;
  /** Time limit for each answer of the relay, after which it counts as lost. */
  readonly timeoutMillis: number;
}

/** Called once, with the open connection or why there is none. */
export type RelayDialed = (error: RelayOpenError | null, stream: RelayStream | null) => void;

export class RelayDialer {
  readonly #options: RelayDialerOptions;

  constructor(options: RelayDialerOptions) {
    this.#options = options;
  }

  open(dial: RelayDial, dialed: RelayDialed): void {
    const { localAddress } = this.#options;
    const socket = connect({
      ...parseAddress(dial.peer.address),
      noDelay: true,
      ...(localAddress && { localAddress }),
    });
    new OpeningRelay(socket, dial, this.#options, dialed);
  }
}

/** A connection to a relay until the relay has connected to the upstream. */
class OpeningRelay {
  readonly #socket: Socket;
  readonly #dial: RelayDial;
  readonly #options: RelayDialerOptions;
  readonly #dialed: RelayDialed;
  readonly #decoder = new FrameDecoder(DEFAULT_MAX_FRAME_BYTES);
  readonly #handshake: Handshake;
  readonly #timer: NodeJS.Timeout;
  #isVerified = false;
  #isOver = false;
  /** The open connection, which gets the frames that came in one piece with the answer. */
  #stream: RelayStream | null = null;
  /** Frames of the handshake that have come. */
  #answers = 0;

  constructor(socket: Socket, dial: RelayDial, options: RelayDialerOptions, dialed: RelayDialed) {
    this.#socket = socket;
    this.#dial = dial;
    this.#options = options;
    this.#dialed = dialed;
    this.#handshake = new Handshake({
      ...options.identity,
      role: 'initiator',
      nonce: randomBytes(NONCE_BYTES),
    });
    this.#timer = setTimeout(this.#onLimit, dial.timeoutMillis);
    socket.once('connect', () => this.#send(...this.#handshake.start()));
    socket.on('data', this.#onData);
    socket.on('error', this.#onError);
    socket.on('close', this.#onClose);
  }

  /** What has arrived while this process was held up is handled before the limit counts. */
  readonly #onLimit = (): void => {
    const answers = this.#answers;
    setImmediate(() => {
      if (this.#answers === answers) {
        this.#fail(new RelayOpenError('lost'));
      }
    });
  };

  readonly #onData = (chunk: Buffer): void => {
    try {
      for (const frame of this.#decoder.read(chunk)) {
        this.#receive(frame);
      }
    } catch (thrown) {
      const fault = toError(thrown);
      this.#stream?.destroy(new RelayLostError(fault));
      this.#fail(new RelayOpenError('lost', fault));
    }
  };

  readonly #onError = (error: Error): void => this.#fail(new RelayOpenError('lost', error));

  readonly #onClose = (): void => this.#fail(new RelayOpenError('lost'));

  #receive(frame: Frame): void {
    if (this.#isOver) {
      this.#stream?.receiveFrame(frame);
      return;
    }
    if (!this.#isVerified) {
      this.#shakeHands(frame);
    } else if (frame.kind === FRAME_KINDS.relayOpened) {
      const { result } = relayOpenedCodec.decode(frame.payload);
      if (result === 'open') {
        this.#succeed();
      } else {
        this.#fail(new RelayOpenError(result));
      }
    }
  }

  /** The request goes with this end's proof; the relay checks the proof first. */
  #shakeHands(frame: Frame): void {
    this.#answers += 1;
    this.#timer.refresh();
    const { send, peer } = this.#handshake.receive(frame);
    if (send.length > 0) {
      const { upstream } = this.#dial;
      const payload = relayOpenCodec.encode({ type: 'relay-open', upstream });
      this.#send(...send, { kind: FRAME_KINDS.relayOpen, correlation: 0, payload });
    }
    this.#isVerified = peer !== null;
  }

  #send(...frames: readonly Frame[]): void {
    this.#socket.write(Buffer.concat(frames.map((frame) => encodeFrame(frame, DEFAULT_MAX_FRAME_BYTES))));
  }

  #succeed(): void {
    this.#end();
    const { onClosing } = this.#options;
    const { router } = this.#dial.peer;
    this.#stream = new RelayStream(this.#socket, this.#decoder, { onClosing: () => onClosing(router) });
    this.#dialed(null, this.#stream);
  }

  #fail(error: RelayOpenError): void {
    if (!this.#isOver) {
      this.#end();
      this.#socket.on('error', () => {});
      this.#socket.destroy();
      this.#dialed(error, null);
    }
  }

  #end(): void {
    this.#isOver = true;
    clearTimeout(this.#timer);
    this.#socket.off('data', this.#onData);
    this.#socket.off('error', this.#onError);
    this.#socket.off('close', this.#onClose);
  }
}
