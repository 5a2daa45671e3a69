/** Errors of the wire layer. */
import { TernmountError } from '../errors/ternmount-error.js';

/** Bytes that are no frame or message of this protocol. The connection that sent them is closed. */
export class MalformedFrameError extends TernmountError {
  constructor(message: string, cause?: Error) {
    super({ code: 'TERNMOUNT_WIRE_MALFORMED', retriable: false, cause }, message);
  }
}

/** A frame above the bound. */
export class FrameTooLargeError extends TernmountError {
  constructor(
    readonly frameBytes: number,
    readonly maxFrameBytes: number,
  ) {
    super(
      { code: 'TERNMOUNT_WIRE_FRAME_TOO_LARGE', retriable: false, info: { frameBytes, maxFrameBytes } },
      `frame of ${frameBytes} bytes is above the bound of ${maxFrameBytes} bytes`,
    );
  }
}

/** The other end is a stranger: another cluster, no proof of the secret, or not the kind that was expected. */
export class HandshakeRefusedError extends TernmountError {
  constructor(message: string) {
    super({ code: 'TERNMOUNT_WIRE_HANDSHAKE_REFUSED', retriable: false }, message);
  }
}

/** Nothing was heard from the other end for too long. */
export class PeerSilentError extends TernmountError {
  constructor(readonly silentMillis: number) {
    super(
      { code: 'TERNMOUNT_WIRE_PEER_SILENT', retriable: true, info: { silentMillis } },
      `nothing heard from the other end for ${silentMillis} ms`,
    );
  }
}
