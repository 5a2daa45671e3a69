/**
 * Reads what control members send to the hollow routers of one process. A large sync response, such as a snapshot, is
 * read once and known again by its bytes: else this process would spend the time that as many machines spend side by side.
 */
import type { ControlToRouter, SyncResponse } from '../../control/messages.js';
import { controlToRouterCodecs, type Frame } from '../../wire/index.js';

const LARGE_BYTES = 4096;
/** Different large responses that are remembered. */
const REMEMBERED = 4;
/** The stamp comes first in a sync response; whether it is confirmed comes next. */
const STAMP_BYTES = 8;
const CONFIRMED_BYTES = 1;

interface Known {
  readonly kind: number;
  /** All after the stamp and the confirmation. */
  readonly rest: Buffer;
  readonly response: SyncResponse;
}

export class SharedDecoder {
  private known: Known[] = [];

  decode({ kind, payload }: Frame): ControlToRouter {
    if (payload.length < LARGE_BYTES) {
      return controlToRouterCodecs.decode(kind, payload);
    }
    const bytes = Buffer.from(payload.buffer, payload.byteOffset, payload.length);
    const rest = bytes.subarray(STAMP_BYTES + CONFIRMED_BYTES);
    const known = this.known.find((one) => one.kind === kind && one.rest.equals(rest));
    if (known === undefined) {
      return this.remember(kind, payload, rest);
    }
    const stamp = bytes.readDoubleBE(0);
    return { ...known.response, stamp, confirmed: bytes[STAMP_BYTES] === 1 };
  }

  private remember(kind: number, payload: Uint8Array, rest: Buffer): ControlToRouter {
    const message = controlToRouterCodecs.decode(kind, payload);
    if (message.type === 'sync-response') {
      this.known = [{ kind, rest, response: message }, ...this.known.slice(0, REMEMBERED - 1)];
    }
    return message;
  }
}
