/** Head of an upstream's answer: what it says about its own end, and whether the fence refused the request. */
import type { FenceRefusal } from '../../lease/types.js';
import { HEADERS } from '../../model/outcome.js';
import type { AttemptResult } from '../../routing/types.js';
import { findHeader } from '../caller/header-rules.js';

const MISDIRECTED_REQUEST = 421;
const SERVICE_UNAVAILABLE = 503;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

const REFUSALS: ReadonlySet<string> = new Set<FenceRefusal>([
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
  /** Length that the answer announces for its body; `null` if it comes in chunks. */
  readonly contentLength: number | null;
  /** Only the end of the connection tells the end of the answer. */
  readonly isUnframed: boolean;
}

/** How long the body is: bytes, `chunked`, or `undefined` if only the end of the connection would tell. */
export function announcedLength(
  method: string,
  status: number,
  headers: readonly string[],
): number | 'chunked' | undefined {
  if (method === 'HEAD' || status === NO_CONTENT || status === NOT_MODIFIED) {
    return 0;
  }
  if (findHeader(headers, 'transfer-encoding') !== undefined) {
    return 'chunked';
  }
  const length = findHeader(headers, 'content-length');
  return length === undefined ? undefined : Number(length);
}

/** The refusal that an answer stands for; `null` if the request may have run. */
export function refusalOf(head: AnswerHead): (AttemptResult & { readonly type: 'refused' }) | null {
  const refusing = head.status === MISDIRECTED_REQUEST || head.status === SERVICE_UNAVAILABLE;
  if (!refusing || findHeader(head.headers, HEADERS.outcome) !== 'not-run') {
    return null;
  }
  const reason = findHeader(head.headers, HEADERS.reason) ?? '';
  const fallback: FenceRefusal = head.status === MISDIRECTED_REQUEST ? 'not-owner' : 'overloaded';
  const refusal = REFUSALS.has(reason) ? (reason as FenceRefusal) : fallback;
  return { type: 'refused', refusal, retryAfterMillis: retryAfterMillis(head.headers) };
}

/** Pause that an answer asks for; `null` if it asks for none. */
export function retryAfterMillis(headers: readonly string[]): number | null {
  const seconds = Number(findHeader(headers, 'retry-after') ?? Number.NaN);
  return Number.isFinite(seconds) && seconds >= 0 ? seconds * 1000 : null;
}
