/**
 * Decodes messages from control members to the simulated routers of one process. A large sync response, such as a
 * snapshot, is decoded once and recognized by its bytes: otherwise this process would need the time that as many
 * machines spend in parallel.
 */
import type { ControlToRouter, SyncResponse } from '../../control/messages.js';
import { controlToRouterCodecs, type Frame } from '../../wire/index.js';

const LARGE_BYTES = 4096;
/** Maximum number of cached large responses. */
const MAX_CACHED_RESPONSES = 4;
/** A sync response begins with the stamp, followed by the confirmation. */
const STAMP_BYTES = 8;
const CONFIRMED_BYTES = 1;

interface CachedResponse {
  readonly kind: number;
  /** The bytes after the stamp and the confirmation. */
  readonly rest: Buffer;
  readonly response: SyncResponse;
}

export class SharedDecoder {
  private known: CachedResponse[] = [];

  decode({ kind, payload }: Frame): ControlToRouter {
    if (payload.length < LARGE_BYTES) {
      return controlToRouterCodecs.decode(kind, payload);
    }
    const bytes = Buffer.from(payload.buffer, payload.byteOffset, payload.length);
    const rest = bytes.subarray(STAMP_BYTES + CONFIRMED_BYTES);
    const cached = this.known.find((entry) => entry.kind === kind && entry.rest.equals(rest));
    if (cached === undefined) {
      return this.decodeAndCache(kind, payload, rest);
    }
    const stamp = bytes.readDoubleBE(0);
    return { ...cached.response, stamp, confirmed: bytes[STAMP_BYTES] === 1 };
  }

  private decodeAndCache(kind: number, payload: Uint8Array, rest: Buffer): ControlToRouter {
    const message = controlToRouterCodecs.decode(kind, payload);
    if (message.type === 'sync-response') {
      this.known = [{ kind, rest, response: message }, ...this.known.slice(0, MAX_CACHED_RESPONSES - 1)];
    }
    return message;
  }
}
