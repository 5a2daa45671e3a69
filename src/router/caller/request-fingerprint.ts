/**
 * Names what a request asks for, so that it is known again at any router. All that an upstream can see of it and that stays when it
 * is sent again goes in: method, host, target, key, the caller's credentials and the body. What is new each time stays out:
 * ids, deadlines, connections.
 */
import { createHash } from 'node:crypto';
import type { RequestFingerprint } from '../../model/crash-suspect.js';
import { findHeader } from './header-rules.js';
import type { CallerRequestHead } from './request-head.js';

/** Headers by which upstreams know callers. */
const CREDENTIALS = ['authorization', 'cookie'] as const;
/** 128 bits: of a billion requests no two agree by chance. */
const HEX_DIGITS = 32;

/** `rawHeaders`: the caller's, as they came. */
export function fingerprintRequest(
  head: CallerRequestHead,
  rawHeaders: readonly string[],
  body: Uint8Array,
): RequestFingerprint {
  const { method, place, service, target, key } = head;
  const credentials = CREDENTIALS.map((name) => findHeader(rawHeaders, name) ?? null);
  const facts = JSON.stringify([method, place?.host ?? service, target, key, ...credentials]);
  return createHash('sha256').update(`${facts}\n`).update(body).digest('hex').slice(0, HEX_DIGITS);
}
