/** What the head of an answer says of the upstream that made it. */
import type { HeaderNames } from '../../model/header-names.js';
import type { WallMillis } from '../../model/identifiers.js';
import {
  type LimitNotice,
  SILENT_NOTICE,
  type UnreadableHeader,
  type UpstreamNotice,
} from '../../model/upstream-notice.js';
import { findHeader, isCalled } from '../caller/header-rules.js';

/** A decimal number, with or without fraction. */
const DECIMAL = /^\d+(?:\.\d+)?$/;
/** A date of HTTP begins with the name of a day. */
const DATE = /^[A-Z][a-z]{2,8},? /;
const MILLIS_PER_SECOND = 1000;
/** Statuses by which an upstream turns a request away for want of room. */
const TURNED_AWAY: ReadonlySet<number> = new Set([429, 503]);
/** Values of the header by which an upstream says that it leaves. */
const LEAVES = '1';
const STAYS = '0';
const NO_LIMIT: LimitNotice = { type: 'none' };

/** Names of the headers that say something of their upstream. */
export type NoticeNames = Pick<HeaderNames, 'limit' | 'leaving'>;

/** Head of an answer; `headers` is a flat list of names and values. */
interface Head {
  readonly status: number;
  readonly headers: readonly string[];
}

/** `wall`: the time of day, for a rest that is asked for until a date. */
export function readNotice({ status, headers }: Head, names: NoticeNames, wall: WallMillis): UpstreamNotice {
  const limits: string[] = [];
  const rests: string[] = [];
  const leavings: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] as string;
    if (isCalled(name, names.limit)) {
      limits.push((headers[index + 1] as string).trim());
    } else if (isCalled(name, names.leaving)) {
      leavings.push((headers[index + 1] as string).trim());
    } else if (TURNED_AWAY.has(status) && isCalled(name, 'retry-after')) {
      rests.push((headers[index + 1] as string).trim());
    }
  }
  if (limits.length + rests.length + leavings.length === 0) {
    return SILENT_NOTICE;
  }
  const limit = limits.length === 0 ? NO_LIMIT : readLimit(limits);
  const restMillis = rests.length === 0 ? null : readRest(rests, headers, wall);
  const unreadable: UnreadableHeader[] = [];
  if (limit.type === 'unreadable') {
    unreadable.push({ header: names.limit, text: limits.join(', ') });
  }
  if (rests.length > 0 && restMillis === null) {
    unreadable.push({ header: 'retry-after', text: rests.join(', ') });
  }
  const isLeaving = leavings.includes(LEAVES);
  if (leavings.some((text) => text !== LEAVES && text !== STAYS)) {
    unreadable.push({ header: names.leaving, text: leavings.join(', ') });
  }
  return { limit, restMillis, isLeaving, unreadable };
}

/** Of several limits the smallest counts; one that makes no sense makes none of them sure. */
function readLimit(texts: readonly string[]): LimitNotice {
  const values = texts.map((text) => (DECIMAL.test(text) ? Number(text) : Number.NaN));
  const perSecond = Math.min(...values);
  return Number.isFinite(perSecond) ? { type: 'named', perSecond } : { type: 'unreadable' };
}

/** Of several rests the longest counts; `null`: none makes sense. A date is taken by the upstream's own clock where it tells it. */
function readRest(texts: readonly string[], headers: readonly string[], wall: WallMillis): number | null {
  const own = Date.parse(findHeader(headers, 'date') ?? '');
  const from = Number.isNaN(own) ? wall : own;
  const readable = texts.map((text) => restOf(text, from)).filter((millis) => Number.isFinite(millis));
  return readable.length === 0 ? null : Math.max(...readable);
}

/** Milliseconds; `NaN`: it makes no sense. */
function restOf(text: string, from: WallMillis): number {
  if (DECIMAL.test(text)) {
    return Number(text) * MILLIS_PER_SECOND;
  }
  return DATE.test(text) ? Math.max(0, Date.parse(text) - from) : Number.NaN;
}
