/**
 * Computes a fingerprint by which any router recognizes a repeated request. It covers what an upstream sees of the request
 * and what stays the same when it is repeated: method, host, target, key, the caller's credentials and the body. It leaves
 * out what differs each time: ids, deadlines, connections.
 */
import { createHash } from 'node:crypto';
import type { RequestFingerprint } from '../../model/crash-suspect.js';
import { findHeader } from './header-rules.js';
import type { CallerRequestHead } from './request-head.js';

/** Headers by which upstreams identify callers. */
const CREDENTIAL_HEADERS = ['authorization', 'cookie'] as const;
/** 128 bits, so that no two of a billion requests collide by chance. */
const HEX_DIGITS = 32;

/** `rawHeaders` are the caller's headers as received. */
export function fingerprintRequest(
  head: CallerRequestHead,
  rawHeaders: readonly string[],
  body: Uint8Array,
): RequestFingerprint {
  const { method, place, service, target, key } = head;
  const credentials = CREDENTIAL_HEADERS.map((name) => findHeader(rawHeaders, name) ?? null);
  const identity = JSON.stringify([method, place?.host ?? service, target, key, ...credentials]);
  return createHash('sha256').update(`${identity}\n`).update(body).digest('hex').slice(0, HEX_DIGITS);
}
