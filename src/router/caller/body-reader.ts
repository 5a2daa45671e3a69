/** Reads the bodies of requests whole, bounded one by one and together. */
import type { IncomingMessage } from 'node:http';
import { BodiesHeldError, BodyTooLargeError, type TurnedAwayError } from './bad-request-error.js';

export const NO_BODY = Buffer.alloc(0);

export interface BodyLimits {
  readonly maxBodyBytes: number;
  readonly maxHeldBodyBytes: number;
}

export class BodyReader {
  private heldBytes = 0;

  constructor(private limits: BodyLimits) {}

  /** Takes over another bound on one body. */
  resize(maxBodyBytes: number): void {
    this.limits = { ...this.limits, maxBodyBytes };
  }

  /** Bytes of bodies held now. */
  get held(): number {
    return this.heldBytes;
  }

  /**
   * Calls back once with the body, or with the error that turns the request away; never if the caller goes away.
   * What was read must be given back with `release`.
   */
  read(request: IncomingMessage, done: (error: TurnedAwayError | null, body: Buffer) => void): void {
    if (!hasBody(request)) {
      done(null, NO_BODY);
      return;
    }
    const announced = Number(request.headers['content-length'] ?? 0);
    if (announced > this.limits.maxBodyBytes) {
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
    done: (error: TurnedAwayError | null, body: Buffer) => void,
  ): void {
    const chunks: Buffer[] = [];
    let size = 0;
    let ended = false;
    const end = (error: TurnedAwayError | null, body: Buffer): void => {
      if (!ended) {
        ended = true;
        if (error !== null) {
          this.heldBytes -= size;
        }
        done(error, body);
      }
    };
    request.on('data', (chunk: Buffer) => {
      if (ended) {
        return;
      }
      size += chunk.length;
      this.heldBytes += chunk.length;
      chunks.push(chunk);
      if (size > this.limits.maxBodyBytes) {
        end(new BodyTooLargeError(this.limits.maxBodyBytes), NO_BODY);
      } else if (this.heldBytes > this.limits.maxHeldBodyBytes) {
        end(new BodiesHeldError(), NO_BODY);
      }
    });
    request.on('end', () => end(null, Buffer.concat(chunks)));
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
