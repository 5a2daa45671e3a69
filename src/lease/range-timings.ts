/** Timings of timed grants of key ranges, and of the heartbeats of the upstreams that hold them. */
import { DEFAULT_TIMED_GRANT_TIMINGS, type TimedGrantTimings } from './timed-grants.js';

/** In milliseconds. */
export interface RangeTimings extends TimedGrantTimings {
  /** Usual interval between two heartbeats of an upstream. */
  readonly heartbeatMillis: number;
}

export const DEFAULT_RANGE_TIMINGS: RangeTimings = { ...DEFAULT_TIMED_GRANT_TIMINGS, heartbeatMillis: 1000 };
