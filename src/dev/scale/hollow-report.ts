/** Load reports as a router under full load sends them, from made-up numbers. */
import type { LoadReport } from '../../control/messages.js';
import type { SharedConfiguration } from './shared-configuration.js';

const INTERVAL_MILLIS = 1000;
/** Requests a second of one router at the target: 2.8 million among 1,200. */
const REQUESTS = 2333;
const SERVICE_MILLIS = 3.25;
/** Shards that a router names in one report, each standing for a like share of the work. */
const REPORTED_SHARDS = 64;

/** A report of one second's requests spread evenly over the shards, beginning at a place of the router's own. */
export function hollowReport(shared: SharedConfiguration, position: number): LoadReport {
  const { shards } = shared;
  const count = Math.min(REPORTED_SHARDS, shards.length);
  const start = (position * REPORTED_SHARDS) % Math.max(1, shards.length);
  const workMillis = (SERVICE_MILLIS * REQUESTS) / Math.max(1, count);
  return {
    type: 'load-report',
    intervalMillis: INTERVAL_MILLIS,
    shards: Array.from({ length: count }, (_, index) => ({
      shard: shards[(start + index) % shards.length] as string,
      workMillis,
      requests: REQUESTS / Math.max(1, count),
    })),
  };
}
