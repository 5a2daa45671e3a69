/**
 * Requests under which upstreams ended. A request that crashes whoever runs it looks like any other, comes again at any
 * router, and takes one upstream after the other; it is told from those that merely ran beside it by what happens next: they succeed.
 */
import type { Incarnation, Revision, ServiceName, UpstreamId, WallMillis } from './identifiers.js';

/** Names what a request asks for, however often it is sent and by whichever router: 32 hexadecimal digits. */
export type RequestFingerprint = string;

/** Names one run of an upstream. */
export type RunName = string;

/** One run that ended while a request was under way there and unanswered. */
export interface UpstreamCrash {
  readonly fingerprint: RequestFingerprint;
  readonly service: ServiceName;
  readonly run: RunName;
  /** Run of the router that reports it. */
  readonly reporter: Incarnation;
}

/** A suspect that succeeded, and the revision of what was known of it then. */
export interface ClearedSuspect {
  readonly fingerprint: RequestFingerprint;
  readonly revision: Revision;
}

/** What is known of one request under which upstreams ended, and which never succeeded since. */
export interface CrashSuspect {
  readonly fingerprint: RequestFingerprint;
  readonly service: ServiceName;
  /** Runs that ended, the latest last; the oldest ones are left out where there are many. */
  readonly runs: readonly RunName[];
  readonly crashes: number;
  /** Crashes at which it is quarantined. */
  readonly needed: number;
  /** By the registry's clock: since when routers refuse it; `null`: they don't. */
  readonly quarantinedAt: WallMillis | null;
  /** Run of the one router that may send it once more before the quarantine is over; `null`: nobody may. */
  readonly trialBy: Incarnation | null;
  /** Time from then to that trial. */
  readonly trialMillis: number;
  /** By the registry's clock: the quarantine is lifted then, or the suspicion forgotten. */
  readonly until: WallMillis;
  readonly revision: Revision;
}

/** When a request is quarantined, for how long, and how many suspects are kept. */
export interface QuarantineTerms {
  /** Runs that must have ended under it, with no success in between. */
  readonly crashes: number;
  /** Time since the last one. After it, one more crash quarantines it again. */
  readonly keepMillis: number;
  /** Time from the beginning of a quarantine to the one trial in it. */
  readonly trialMillis: number;
  /** Suspects kept at once; the least suspected ones are forgotten first. */
  readonly mostRequests: number;
}

/**
 * Three crashes: one may be chance, and of those beside a guilty request few come to be beside it three times without a
 * success. A trial after five seconds: callers of a wrongly accused request wait no longer than that if it comes often, and a guilty one
 * costs one upstream more; routers in touch know of the quarantine well before. Ten minutes: a guilty request then costs one upstream in that time, and a wrongly accused caller waits no longer.
 * 512 suspects, some 100 bytes each, are 50 kB in a router's snapshot; a lost rack of 40 upstreams accuses about 200 requests.
 */
export const DEFAULT_QUARANTINE_TERMS: QuarantineTerms = {
  crashes: 3,
  keepMillis: 10 * 60 * 1000,
  trialMillis: 5000,
  mostRequests: 512,
};

/** Runs without a name of their own that end within this time at one upstream are one: the next takes longer to start. */
const UNNAMED_RUN_MILLIS = 1000;

/** Name of a run that is known by its upstream alone, by when it ended. */
export function nameUnnamedRun(upstream: UpstreamId, endedAt: WallMillis): RunName {
  return `${upstream}@${Math.round(endedAt / UNNAMED_RUN_MILLIS)}`;
}
