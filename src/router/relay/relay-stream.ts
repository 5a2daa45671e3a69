/**
 * The bytes of one carried connection, in frames on the connection between two routers. The frames have an explicit end, so that the end of the
 * other router never looks like that of an answer. Used at both ends.
 */
import type { Socket } from 'node:net';
import { toError } from '../../errors/ternmount-error.js';
import {
  DEFAULT_MAX_FRAME_BYTES,
  encodeFrame,
  FRAME_KINDS,
  type Frame,
  type FrameDecoder,
} from '../../wire/index.js';
import { relayEndCodec } from '../../wire/relay/relay-messages.js';
import { ConnectionResetError } from '../attempts/attempt-error.js';
import { UpstreamConnection } from '../attempts/upstream-connection.js';
import { RelayLostError } from './relay-error.js';

/** Largest payload of a data frame; the receiver holds one frame at most. */
export const MAX_DATA_BYTES = 64 * 1024;
const NO_BYTES = new Uint8Array(0);

export interface RelayStreamOptions {
  /** Called when the other router says that it stops. */
  readonly onClosing?: () => void;
}

export class RelayStream extends UpstreamConnection {
  readonly #socket: Socket;
  readonly #decoder: FrameDecoder;
  readonly #options: RelayStreamOptions;
  #hasEnd = false;
  /** Whether the socket still has frames to write that must arrive. */
  #isFlushing = false;
  #isReset = false;

  /** Takes the socket over, with the decoder that has read its frames so far. */
  constructor(socket: Socket, decoder: FrameDecoder, options: RelayStreamOptions = {}) {
    super();
    this.#socket = socket;
    this.#decoder = decoder;
    this.#options = options;
    socket.on('data', (chunk: Buffer) => this.#read(chunk));
    socket.on('error', (error) => this.destroy(new RelayLostError(error)));
    socket.on('close', () => this.#onClose());
  }

  /** Tells the other router that this one stops. */
  announceClosing(): void {
    this.#writeFrame(FRAME_KINDS.relayClosing, NO_BYTES);
  }

  /** Ends the stream and tells the other end that the connection to the upstream broke. */
  reset(): void {
    if (!this.destroyed) {
      this.#writeEnd('reset');
      this.destroy();
    }
  }

  /** Closes the connection between the routers and discards what hasn't arrived. */
  override resetAndDestroy(error?: Error): void {
    this.#isReset = true;
    this.destroy(error);
  }

  protected override pauseSource(): void {
    this.#socket.pause();
  }

  protected override resumeSource(): void {
    this.#socket.resume();
  }

  override _write(chunk: Buffer, _encoding: BufferEncoding, done: (error?: Error | null) => void): void {
    let start = 0;
    while (chunk.length - start > MAX_DATA_BYTES) {
      this.#writeFrame(FRAME_KINDS.relayData, chunk.subarray(start, start + MAX_DATA_BYTES));
      start += MAX_DATA_BYTES;
    }
    // A failed write reports its error before the socket does.
    this.#writeFrame(FRAME_KINDS.relayData, chunk.subarray(start), (error) =>
      done(error ? new RelayLostError(error) : null),
    );
  }

  override _final(done: (error?: Error | null) => void): void {
    this.#writeEnd('end');
    done();
  }

  override _destroy(error: Error | null, done: (error?: Error | null) => void): void {
    if (this.#isReset) {
      this.#socket.resetAndDestroy();
    } else if (this.#isFlushing && error === null) {
      this.#socket.end();
      this.#socket.resume();
    } else {
      this.#socket.destroy();
    }
    done(error);
  }

  #writeEnd(how: 'end' | 'reset'): void {
    this.#isFlushing = true;
    this.#writeFrame(FRAME_KINDS.relayEnd, relayEndCodec.encode({ type: 'relay-end', how }));
  }

  #writeFrame(kind: number, payload: Uint8Array, done?: (error?: Error | null) => void): void {
    const frame = encodeFrame({ kind, correlation: 0, payload }, DEFAULT_MAX_FRAME_BYTES);
    this.#socket.write(frame, done);
  }

  #read(chunk: Buffer): void {
    try {
      for (const frame of this.#decoder.read(chunk)) {
        this.receiveFrame(frame);
      }
    } catch (thrown) {
      this.destroy(new RelayLostError(toError(thrown)));
    }
  }

  /** Handles a frame of the other router. Throws if it is malformed. */
  receiveFrame({ kind, payload }: Frame): void {
    if (this.destroyed || this.#hasEnd) {
      return;
    }
    switch (kind) {
      case FRAME_KINDS.relayData:
        this.receive(payload);
        return;
      case FRAME_KINDS.relayEnd:
        this.#receiveEnd(payload);
        return;
      case FRAME_KINDS.relayClosing:
        this.#options.onClosing?.();
    }
  }

  #receiveEnd(payload: Uint8Array): void {
    this.#hasEnd = true;
    if (relayEndCodec.decode(payload).how === 'reset') {
      this.destroy(new ConnectionResetError());
    } else {
      this.push(null);
    }
  }

  #onClose(): void {
    if (!this.destroyed) {
      this.destroy(this.#hasEnd ? undefined : new RelayLostError());
    }
  }
}
