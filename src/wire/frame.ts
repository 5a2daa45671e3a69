/**
 * Frames between the processes of the system over TCP:
 * u32 length of the rest, u8 version, u8 kind, u32 correlation, payload. All numbers are big endian.
 */
import * as restructure from 'restructure';
import { FrameTooLargeError, MalformedFrameError } from './wire-error.js';

export const PROTOCOL_VERSION = 2;

/** Types of frames. Numbers are never reused. */
export const FRAME_KINDS = {
  hello: 1,
  proof: 2,
  ping: 3,
  pong: 4,
  voteRequest: 16,
  voteResponse: 17,
  appendRequest: 18,
  appendResponse: 19,
  snapshotRequest: 20,
  snapshotResponse: 21,
  timeoutNow: 22,
  readIndexRequest: 23,
  readIndexResponse: 24,
  joinRequest: 25,
  forwardedRequest: 26,
  forwardedResponse: 27,
  syncRequest: 32,
  syncResponse: 33,
  changeNotice: 34,
  claimRequest: 35,
  claimResponse: 36,
  settleRequest: 37,
  settleResponse: 38,
  loadReport: 39,
  syncNews: 40,
  crashReport: 41,
  upstreamReport: 42,
  upstreamPermits: 43,
  fleetNews: 44,
  relayPeers: 45,
  relayOpen: 64,
  relayOpened: 65,
  relayData: 66,
  relayEnd: 67,
  relayClosing: 68,
} as const;

export interface Frame {
  /** One of `FRAME_KINDS`; an unknown number comes from a newer version. */
  readonly kind: number;
  /** Matches a pong to its ping on one connection; 0 in other frames, whose messages identify their request themselves. */
  readonly correlation: number;
  readonly payload: Uint8Array;
}

/** Default maximum, enough for the routing snapshot of a large cluster and for a chunk of a Raft snapshot. */
export const DEFAULT_MAX_FRAME_BYTES = 16 * 1024 * 1024;

interface FrameHeader {
  readonly length: number;
  readonly version: number;
  readonly kind: number;
  readonly correlation: number;
}

const header = new restructure.Struct<FrameHeader>({
  length: restructure.uint32,
  version: restructure.uint8,
  kind: restructure.uint8,
  correlation: restructure.uint32,
});

const LENGTH_BYTES = 4;
/** Size of a frame without its payload. */
export const HEADER_BYTES = 10;
const COUNTED_HEADER_BYTES = HEADER_BYTES - LENGTH_BYTES;

/** Encodes a frame. Throws `FrameTooLargeError` if the value of its length field is above `maxFrameBytes`. */
export function encodeFrame(frame: Frame, maxFrameBytes: number): Uint8Array {
  const length = COUNTED_HEADER_BYTES + frame.payload.length;
  if (length > maxFrameBytes) {
    throw new FrameTooLargeError(length, maxFrameBytes);
  }
  const encoded = Buffer.allocUnsafe(HEADER_BYTES + frame.payload.length);
  const { kind, correlation } = frame;
  header.encode(new restructure.EncodeStream(encoded), {
    length,
    version: PROTOCOL_VERSION,
    kind,
    correlation,
  });
  encoded.set(frame.payload, HEADER_BYTES);
  return encoded;
}

/** Splits a byte stream into frames, independent of chunk boundaries. Buffers at most one incomplete frame. */
export class FrameDecoder {
  private chunks: Uint8Array[] = [];
  private bufferedBytes = 0;
  private requiredBytes = HEADER_BYTES;

  /** `maxFrameBytes` may be raised between frames. */
  constructor(public maxFrameBytes: number) {}

  /** Adds bytes and returns the completed frames. Throws on a malformed frame, after which the stream is unusable. */
  push(chunk: Uint8Array): Frame[] {
    return [...this.read(chunk)];
  }

  /** Like `push`, but yields one frame at a time, so that changes made for one frame, such as a new limit, apply to the next. */
  *read(chunk: Uint8Array): Generator<Frame, void> {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    while (this.bufferedBytes >= this.requiredBytes) {
      const frame = this.decodeNext();
      if (frame !== undefined) {
        yield frame;
      }
    }
  }

  /** Decodes the header, and the frame if it is complete. */
  private decodeNext(): Frame | undefined {
    const joined = this.chunks.length === 1 ? (this.chunks[0] as Uint8Array) : Buffer.concat(this.chunks);
    const head = header.decode(new restructure.DecodeStream(joined));
    this.checkHeader(head);
    const frameBytes = LENGTH_BYTES + head.length;
    if (joined.length < frameBytes) {
      this.chunks = [joined];
      this.requiredBytes = frameBytes;
      return undefined;
    }
    this.chunks = [joined.subarray(frameBytes)];
    this.bufferedBytes = joined.length - frameBytes;
    this.requiredBytes = HEADER_BYTES;
    const payload = joined.subarray(HEADER_BYTES, frameBytes);
    return { kind: head.kind, correlation: head.correlation, payload };
  }

  private checkHeader(head: FrameHeader): void {
    if (head.version !== PROTOCOL_VERSION) {
      throw new MalformedFrameError(
        `frame of version ${head.version}, this process speaks ${PROTOCOL_VERSION}`,
      );
    }
    if (head.length < COUNTED_HEADER_BYTES) {
      throw new MalformedFrameError(`frame of ${head.length} bytes is shorter than its own header`);
    }
    if (head.length > this.maxFrameBytes) {
      throw new FrameTooLargeError(head.length, this.maxFrameBytes);
    }
  }
}
