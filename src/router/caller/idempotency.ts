/** Reads the idempotency key of a request and its issue time, and computes the fingerprint that is checked with the key. */
import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import type { WallMillis } from '../../model/identifiers.js';
import { HEADERS } from '../../model/outcome.js';
import { BadRequestError } from './rejected-request-errors.js';

export interface IdempotencyHead {
  readonly key: string;
  readonly issuedAt: WallMillis;
}

const MAX_KEY_LENGTH = 255;
const KEY_PATTERN = /^[\x21-\x7e]+$/;
const UUID_V7_PATTERN = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/**
 * Returns the key and its issue time, from `Idempotency-Issued-At` (milliseconds since 1970 or an ISO 8601 date) or from a
 * key that is a UUID of version 7. Returns `null` without a key, or without an issue time: a key of unknown age proves nothing.
 */
export function readIdempotency(headers: IncomingHttpHeaders): IdempotencyHead | null {
  const key = headers[HEADERS.idempotencyKey];
  if (typeof key !== 'string') {
    return null;
  }
  if (key.length > MAX_KEY_LENGTH || !KEY_PATTERN.test(key)) {
    throw new BadRequestError(`Idempotency-Key must be 1 to ${MAX_KEY_LENGTH} visible ASCII characters`);
  }
  const issued = headers[HEADERS.idempotencyIssuedAt];
  const issuedAt = typeof issued === 'string' ? parseIssuedAt(issued) : readUuidV7Time(key);
  return issuedAt === null ? null : { key, issuedAt };
}

/** SHA-256 in hex over method, target and body of a request. */
export function idempotencyFingerprint(method: string, target: string, body: Uint8Array): string {
  return createHash('sha256').update(`${method} ${target}\n`).update(body).digest('hex');
}

function parseIssuedAt(value: string): WallMillis {
  const millis = /^\d+$/.test(value) ? Number(value) : Date.parse(value);
  if (!Number.isSafeInteger(millis) || millis < 0) {
    throw new BadRequestError('Idempotency-Issued-At must be milliseconds since 1970 or an ISO 8601 date');
  }
  return millis;
}

/** The first 48 bits of a UUID of version 7 are milliseconds since 1970. */
function readUuidV7Time(key: string): WallMillis | null {
  const match = UUID_V7_PATTERN.exec(key);
  return match === null ? null : Number.parseInt(`${match[1]}${match[2]}`, 16);
}
