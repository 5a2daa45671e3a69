/** Parses the headers that routers add to each request. */
import type { IncomingHttpHeaders } from 'node:http';
import type { FenceCredentials } from '../lease/types.js';
import { HEADERS } from '../model/outcome.js';

export interface RequestHead {
  readonly requestId: string | null;
  readonly key: string | null;
  /** `null` for services without keys. */
  readonly credentials: FenceCredentials | null;
  /** Remaining time; `null` without a deadline. */
  readonly deadlineMillis: number | null;
}

/** A header that violates docs/UPSTREAM-PROTOCOL.md. */
export class MalformedHeadError extends Error {}

/** Longest accepted deadline: one day. */
const MAX_DEADLINE_MILLIS = 86_400_000;

/** Parses the headers. Throws `MalformedHeadError`. */
export function readRequestHead(headers: IncomingHttpHeaders): RequestHead {
  const key = readKey(headers);
  return {
    requestId: readText(headers, HEADERS.requestId),
    key,
    credentials: readCredentials(headers, key),
    deadlineMillis: readInteger(headers, HEADERS.deadlineMillis, MAX_DEADLINE_MILLIS),
  };
}

function readCredentials(headers: IncomingHttpHeaders, key: string | null): FenceCredentials | null {
  const shard = readText(headers, HEADERS.shard);
  if (shard === null) {
    return null;
  }
  const epoch = readInteger(headers, HEADERS.epoch, Number.MAX_SAFE_INTEGER);
  const incarnation = readText(headers, HEADERS.incarnation);
  if (epoch === null || incarnation === null || key === null) {
    throw new MalformedHeadError(
      `${HEADERS.shard} needs ${HEADERS.epoch}, ${HEADERS.incarnation} and ${HEADERS.key}`,
    );
  }
  return { shard, epoch, incarnation, key };
}

/** Keys are percent-encoded, since header values are not UTF-8. */
function readKey(headers: IncomingHttpHeaders): string | null {
  const encoded = readText(headers, HEADERS.key);
  if (encoded === null) {
    return null;
  }
  try {
    return decodeURIComponent(encoded);
  } catch {
    throw new MalformedHeadError(`${HEADERS.key} is not percent-encoded UTF-8`);
  }
}

function readInteger(headers: IncomingHttpHeaders, name: string, max: number): number | null {
  const value = readText(headers, name);
  if (value === null) {
    return null;
  }
  const number = Number(value);
  if (!/^\d+$/.test(value) || number > max) {
    throw new MalformedHeadError(`${name} must be an integer from 0 to ${max}`);
  }
  return number;
}

function readText(headers: IncomingHttpHeaders, name: string): string | null {
  const value = headers[name];
  return typeof value === 'string' ? value : null;
}
