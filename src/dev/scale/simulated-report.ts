/** Load reports with fixed numbers, like those of a router under full load. */
import type { LoadReport } from '../../control/messages.js';
import type { SharedConfiguration } from './shared-configuration.js';

const INTERVAL_MILLIS = 1000;
/** Requests per second of one router at the target: 2.8 million among 1,200 routers. */
const REQUESTS = 2333;
const SERVICE_MILLIS = 3.25;
/** Number of shards in one report; each represents an equal share of the work. */
const REPORTED_SHARDS = 64;

/** Returns a report of one second's requests, distributed evenly over shards that start at an offset of the router's own. */
export function simulateReport(shared: SharedConfiguration, position: number): LoadReport {
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
