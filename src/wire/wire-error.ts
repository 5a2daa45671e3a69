/** Errors of the wire layer. */
import { TernmountError } from '../errors/ternmount-error.js';

/** Received bytes are not a valid frame or message. Their connection is closed. */
export class MalformedFrameError extends TernmountError {
  constructor(message: string, cause?: Error) {
    super({ code: 'TERNMOUNT_WIRE_MALFORMED', retriable: false, cause }, message);
  }
}

/** A frame exceeds the size limit. */
export class FrameTooLargeError extends TernmountError {
  constructor(
    readonly frameBytes: number,
    readonly maxFrameBytes: number,
  ) {
    super(
      { code: 'TERNMOUNT_WIRE_FRAME_TOO_LARGE', retriable: false, info: { frameBytes, maxFrameBytes } },
      `frame of ${frameBytes} bytes exceeds the limit of ${maxFrameBytes} bytes`,
    );
  }
}

/** The peer belongs to another cluster, has no valid proof of the secret or is of an unexpected kind. */
export class HandshakeRefusedError extends TernmountError {
  constructor(message: string) {
    super({ code: 'TERNMOUNT_WIRE_HANDSHAKE_REFUSED', retriable: false }, message);
  }
}

/** Nothing was received from the peer for too long. */
export class PeerSilentError extends TernmountError {
  constructor(readonly silentMillis: number) {
    super(
      { code: 'TERNMOUNT_WIRE_PEER_SILENT', retriable: true, info: { silentMillis } },
      `nothing received from the peer for ${silentMillis} ms`,
    );
  }
}
