/** Head of an upstream's answer: how the body is framed, and whether the fence refused the request. */
import type { FenceRefusal } from '../../lease/types.js';
import { HEADERS } from '../../model/outcome.js';
import type { AttemptResult } from '../../routing/types.js';
import { countHeader, findHeader } from '../caller/header-rules.js';

const MISDIRECTED_REQUEST = 421;
const SERVICE_UNAVAILABLE = 503;
export const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
/** The only transfer coding that the HTTP client decodes. */
const CHUNKED = 'chunked';
const BODILESS_STATUSES: ReadonlySet<number> = new Set([NO_CONTENT, NOT_MODIFIED]);

const FENCE_REFUSALS: ReadonlySet<string> = new Set<FenceRefusal>([
  'lease-over',
  'not-owner',
  'stale-epoch',
  'wrong-shard',
  'other-incarnation',
  'draining',
  'overloaded',
]);

export interface AnswerHead {
  readonly status: number;
  /** Flat list of names and values. */
  readonly headers: readonly string[];
  /** Length of the body according to the head; `null` if the body is chunked or ends with the connection. */
  readonly contentLength: number | null;
}

/**
 * Returns the length of the body in bytes, `chunked`, `undefined` if the body ends with the connection, or `coded` if it is in a transfer coding that
 * would have to be decoded first (RFC 9112, 6.1).
 */
export function bodyLength(
  method: string,
  status: number,
  headers: readonly string[],
): number | 'chunked' | 'coded' | undefined {
  if (method === 'HEAD' || BODILESS_STATUSES.has(status)) {
    return 0;
  }
  const coding = findHeader(headers, 'transfer-encoding');
  if (coding !== undefined) {
    const isAlone = countHeader(headers, 'transfer-encoding') === 1;
    return isAlone && coding.trim().toLowerCase() === CHUNKED ? CHUNKED : 'coded';
  }
  const length = findHeader(headers, 'content-length');
  return length === undefined ? undefined : Number(length);
}

/** Whether a head names a body that its answer never has: that of another answer (RFC 9110, 8.6). */
export function namesAbsentBody(method: string, { status, headers }: AnswerHead): boolean {
  if (method === 'HEAD' || !BODILESS_STATUSES.has(status)) {
    return false;
  }
  const length = Number(findHeader(headers, 'content-length') ?? 0);
  return length > 0 || findHeader(headers, 'transfer-encoding') !== undefined;
}

/** Returns the refusal that an answer means; `null` if the request may have run. */
export function refusalOf(head: AnswerHead): (AttemptResult & { readonly type: 'refused' }) | null {
  const mayRefuse = head.status === MISDIRECTED_REQUEST || head.status === SERVICE_UNAVAILABLE;
  if (!mayRefuse || findHeader(head.headers, HEADERS.outcome) !== 'not-run') {
    return null;
  }
  const reason = findHeader(head.headers, HEADERS.reason) ?? '';
  const fallback: FenceRefusal = head.status === MISDIRECTED_REQUEST ? 'not-owner' : 'overloaded';
  const refusal = FENCE_REFUSALS.has(reason) ? (reason as FenceRefusal) : fallback;
  return { type: 'refused', refusal, retryAfterMillis: retryAfterMillis(head.headers) };
}

/** Returns the delay in `Retry-After`; `null` if there is none. */
export function retryAfterMillis(headers: readonly string[]): number | null {
  const seconds = Number(findHeader(headers, 'retry-after') ?? Number.NaN);
  return Number.isFinite(seconds) && seconds >= 0 ? seconds * 1000 : null;
}
