/**
 * Requests suspected of crashing upstreams. A request that crashes its upstream can't be recognised in advance, is retried through
 * any router and crashes one upstream after the other. Requests that only ran beside it are exonerated when they succeed later.
 */
import type { Incarnation, Revision, ServiceName, UpstreamId, WallMillis } from './identifiers.js';

/** Identifies the content of a request across retries and routers: 32 hexadecimal digits. */
export type RequestFingerprint = string;

/** Identifies one run of an upstream: one lifetime of its process. */
export type RunName = string;

/** A run that ended while a request was in flight there and unanswered. */
export interface UpstreamCrash {
  readonly fingerprint: RequestFingerprint;
  readonly service: ServiceName;
  readonly run: RunName;
  /** Run of the reporting router. */
  readonly reporter: Incarnation;
}

/** A suspect that succeeded, with the revision of its record at that time. */
export interface ClearedSuspect {
  readonly fingerprint: RequestFingerprint;
  readonly revision: Revision;
}

/** A request during which upstream runs ended and which has not succeeded since. */
export interface CrashSuspect {
  readonly fingerprint: RequestFingerprint;
  readonly service: ServiceName;
  /** Runs that ended, latest last; the oldest are dropped when there are many. */
  readonly runs: readonly RunName[];
  readonly crashes: number;
  /** Number of crashes at which the request is quarantined. */
  readonly needed: number;
  /** Registry time since which routers refuse the request; `null` if it isn't quarantined. */
  readonly quarantinedAt: WallMillis | null;
  /** Run of the only router that may send the request once during the quarantine; `null` if none may. */
  readonly trialBy: Incarnation | null;
  /** Time from `quarantinedAt` to that trial. */
  readonly trialMillis: number;
  /** Registry time at which the quarantine ends or the suspect is removed. */
  readonly until: WallMillis;
  readonly revision: Revision;
}

/** When and for how long a request is quarantined, and how many suspects are kept. */
export interface QuarantineSettings {
  /** Number of crashes, without a success in between, after which a request is quarantined. */
  readonly crashes: number;
  /** Time after the last crash until the quarantine ends. After that, one more crash quarantines the request again. */
  readonly keepMillis: number;
  /** Time from the start of a quarantine to its single trial. */
  readonly trialMillis: number;
  /** Maximum number of suspects; the least suspected are removed first. */
  readonly mostRequests: number;
}

/**
 * Three crashes: one may be coincidence, and few innocent requests run beside a crashing one three times without a success.
 * A trial after five seconds bounds the wait for a frequent innocent request and costs one more upstream for a crashing one;
 * connected routers learn of the quarantine well before that. Ten minutes: a crashing request costs one upstream in that time,
 * and an innocent one is blocked no longer. 512 suspects of about 100 bytes each take 50 kB in a router's snapshot; losing a rack
 * of 40 upstreams makes about 200 requests suspects.
 */
export const DEFAULT_QUARANTINE_SETTINGS: QuarantineSettings = {
  crashes: 3,
  keepMillis: 10 * 60 * 1000,
  trialMillis: 5000,
  mostRequests: 512,
};

/** Unnamed runs of one upstream that end within this time count as one, since a restart takes longer. */
const UNNAMED_RUN_MILLIS = 1000;

/** Derives the name of an unnamed run from its upstream and its end time. */
export function deriveRunName(upstream: UpstreamId, endedAt: WallMillis): RunName {
  return `${upstream}@${Math.round(endedAt / UNNAMED_RUN_MILLIS)}`;
}
