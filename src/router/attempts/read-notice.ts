/** Reads the notice in the head of an answer: what an upstream reports about itself, that is its rate limit, back-off and draining. */
import type { HeaderNames } from '../../model/header-names.js';
import type { WallMillis } from '../../model/identifiers.js';
import {
  EMPTY_NOTICE,
  type LimitNotice,
  type UnreadableHeader,
  type UpstreamNotice,
} from '../../model/upstream-notice.js';
import { findHeader, isHeaderNamed } from '../caller/header-rules.js';

/** A decimal number, with or without fraction. */
const DECIMAL = /^\d+(?:\.\d+)?$/;
/** An HTTP date begins with the name of a day. */
const DATE = /^[A-Z][a-z]{2,8},? /;
const MILLIS_PER_SECOND = 1000;
/** Statuses of requests rejected for lack of capacity. */
const OVERLOAD_STATUSES: ReadonlySet<number> = new Set([429, 503]);
/** Values of the header in which an upstream reports whether it is draining. */
const DRAINING = '1';
const NOT_DRAINING = '0';
const NO_LIMIT: LimitNotice = { type: 'none' };

/** Names of the headers that make up a notice. */
export type NoticeNames = Pick<HeaderNames, 'limit' | 'leaving'>;

/** Head of an answer; `headers` is a flat list of names and values. */
interface Head {
  readonly status: number;
  readonly headers: readonly string[];
}

/** `wall` is the base of a back-off given as a date. */
export function readNotice({ status, headers }: Head, names: NoticeNames, wall: WallMillis): UpstreamNotice {
  const limits: string[] = [];
  const backoffs: string[] = [];
  const drainingValues: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] as string;
    if (isHeaderNamed(name, names.limit)) {
      limits.push((headers[index + 1] as string).trim());
    } else if (isHeaderNamed(name, names.leaving)) {
      drainingValues.push((headers[index + 1] as string).trim());
    } else if (OVERLOAD_STATUSES.has(status) && isHeaderNamed(name, 'retry-after')) {
      backoffs.push((headers[index + 1] as string).trim());
    }
  }
  if (limits.length + backoffs.length + drainingValues.length === 0) {
    return EMPTY_NOTICE;
  }
  const limit = limits.length === 0 ? NO_LIMIT : readLimit(limits);
  const restMillis = backoffs.length === 0 ? null : readBackoff(backoffs, headers, wall);
  const unreadable: UnreadableHeader[] = [];
  if (limit.type === 'unreadable') {
    unreadable.push({ header: names.limit, text: limits.join(', ') });
  }
  if (backoffs.length > 0 && restMillis === null) {
    unreadable.push({ header: 'retry-after', text: backoffs.join(', ') });
  }
  const isLeaving = drainingValues.includes(DRAINING);
  if (drainingValues.some((text) => text !== DRAINING && text !== NOT_DRAINING)) {
    unreadable.push({ header: names.leaving, text: drainingValues.join(', ') });
  }
  return { limit, restMillis, isLeaving, unreadable };
}

/** The smallest of several limits applies; if any of them is malformed, all are unreadable. */
function readLimit(texts: readonly string[]): LimitNotice {
  const values = texts.map((text) => (DECIMAL.test(text) ? Number(text) : Number.NaN));
  const perSecond = Math.min(...values);
  return Number.isFinite(perSecond) ? { type: 'named', perSecond } : { type: 'unreadable' };
}

/**
 * Returns the longest of several back-offs, or `null` if all are malformed. A date is relative to the upstream's own clock if the answer has
 * a `Date` header.
 */
function readBackoff(texts: readonly string[], headers: readonly string[], wall: WallMillis): number | null {
  const answerDate = Date.parse(findHeader(headers, 'date') ?? '');
  const from = Number.isNaN(answerDate) ? wall : answerDate;
  const readable = texts.map((text) => parseBackoff(text, from)).filter((millis) => Number.isFinite(millis));
  return readable.length === 0 ? null : Math.max(...readable);
}

/** Returns milliseconds; `NaN` if the text is malformed. */
function parseBackoff(text: string, from: WallMillis): number {
  if (DECIMAL.test(text)) {
    return Number(text) * MILLIS_PER_SECOND;
  }
  return DATE.test(text) ? Math.max(0, Date.parse(text) - from) : Number.NaN;
}
