/** Reads request bodies whole, with limits for each body and for all of them together. */
import type { IncomingMessage } from 'node:http';
import { JoinedPieces } from '../../wire/http/joined-pieces.js';
import { BodiesHeldError, BodyTooLargeError, type RejectedRequestError } from './rejected-request-errors.js';

export const NO_BODY = Buffer.alloc(0);

export interface BodyLimits {
  readonly maxBodyBytes: number;
  readonly maxHeldBodyBytes: number;
}

export class BodyReader {
  private heldBytes = 0;

  constructor(private limits: BodyLimits) {}

  /** Sets another limit for one body. */
  setMaxBodyBytes(maxBodyBytes: number): void {
    this.limits = { ...this.limits, maxBodyBytes };
  }

  /** Bytes of bodies buffered now. */
  get held(): number {
    return this.heldBytes;
  }

  /**
   * Calls `done` once with the body, or with the error that rejects the request; never if the caller disconnects first.
   * The body must be passed to `release` when it isn't needed any more.
   */
  read(request: IncomingMessage, done: (error: RejectedRequestError | null, body: Buffer) => void): void {
    if (!hasBody(request)) {
      done(null, NO_BODY);
      return;
    }
    const declaredBytes = Number(request.headers['content-length'] ?? 0);
    if (declaredBytes > this.limits.maxBodyBytes) {
      done(new BodyTooLargeError(this.limits.maxBodyBytes), NO_BODY);
      return;
    }
    this.collect(request, done);
  }

  release(body: Buffer): void {
    this.heldBytes -= body.length;
  }

  private collect(
    request: IncomingMessage,
    done: (error: RejectedRequestError | null, body: Buffer) => void,
  ): void {
    const pieces = new JoinedPieces();
    let size = 0;
    let ended = false;
    const end = (error: RejectedRequestError | null, body: Buffer): void => {
      if (!ended) {
        ended = true;
        if (error !== null) {
          this.heldBytes -= size;
        }
        pieces.clear();
        done(error, body);
      }
    };
    request.on('data', (chunk: Buffer) => {
      if (ended) {
        return;
      }
      size += chunk.length;
      this.heldBytes += chunk.length;
      pieces.add(chunk);
      if (size > this.limits.maxBodyBytes) {
        end(new BodyTooLargeError(this.limits.maxBodyBytes), NO_BODY);
      } else if (this.heldBytes > this.limits.maxHeldBodyBytes) {
        end(new BodiesHeldError(), NO_BODY);
      }
    });
    request.on('end', () => end(null, Buffer.concat(pieces.all)));
    request.on('close', () => {
      if (!ended) {
        ended = true;
        this.heldBytes -= size;
      }
    });
  }
}

function hasBody(request: IncomingMessage): boolean {
  const { headers } = request;
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}
