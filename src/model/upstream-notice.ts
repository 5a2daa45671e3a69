/**
 * Notices: what an upstream reports in its response headers (rate limit, back-off, draining). Routers read them and forward them to
 * control.
 */
import type { RunName } from './crash-suspect.js';
import type { UpstreamId } from './identifiers.js';

/** `unreadable`: the header is present but malformed, so it neither sets nor removes a limit. */
export type LimitNotice =
  | { readonly type: 'none' }
  | { readonly type: 'named'; readonly perSecond: number }
  | { readonly type: 'unreadable' };

/** A malformed header. */
export interface UnreadableHeader {
  readonly header: string;
  readonly text: string;
}

export interface UpstreamNotice {
  /** Rate limit over all routers together, in effect while responses carry it. */
  readonly limit: LimitNotice;
  /** The upstream rejected the request and requests a back-off of this router for this time; `null` if it requests none. */
  readonly restMillis: number | null;
  /** The upstream accepts no new work. */
  readonly isLeaving: boolean;
  /** For the log. */
  readonly unreadable: readonly UnreadableHeader[];
}

/** Notice of a response without notice headers. */
export const EMPTY_NOTICE: UpstreamNotice = {
  limit: { type: 'none' },
  restMillis: null,
  isLeaving: false,
  unreadable: [],
};

/** Last reported limit of one run of an upstream. */
export interface ReportedLimit {
  /** `null` if there is no limit any more. */
  readonly perSecond: number | null;
  /** Age of the report in milliseconds. */
  readonly heardAgoMillis: number;
}

/** Notices of one run of an upstream as reported by one router, with its demand for permits. */
export interface ReportedUpstream {
  readonly upstream: UpstreamId;
  readonly run: RunName;
  readonly limit: ReportedLimit;
  /** Remaining back-off that the upstream requested from this router; 0 if there is none. */
  readonly restMillis: number;
  /** The upstream reports that it is draining, and the configuration doesn't show it yet. */
  readonly isLeaving: boolean;
  /** Permits requested for waiting requests; 0 if there are none. */
  readonly wanted: number;
  /** Rank of the most important of them; 0 is the most important. */
  readonly rank: number;
  /** Longest remaining wait among them, in milliseconds. */
  readonly patienceMillis: number;
}

/** Permits that the leader issues to one router for one run of an upstream. */
export interface IssuedPermits {
  readonly upstream: UpstreamId;
  readonly run: RunName;
  /** Requests that may be sent in addition to the router's time slots. */
  readonly granted: number;
  /** Time until the next permit if some of the requested ones were denied; `null` if none was. */
  readonly nextInMillis: number | null;
  /** Latest limit reported by any router. */
  readonly limit: ReportedLimit;
}
