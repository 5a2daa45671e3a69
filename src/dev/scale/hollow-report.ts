/** Load reports as a router under full load sends them, from made-up numbers. */
import type { LoadReport } from '../../control/messages.js';
import type { SharedConfiguration } from './shared-configuration.js';

const INTERVAL_MILLIS = 1000;
/** Requests a second of one router at the target: 2.8 million among 1,200. */
const REQUESTS = 2333;
const SERVICE_MILLIS = 3.25;

/** A report of one second's requests spread evenly over the shards, beginning at a place of the router's own. */
export function hollowReport(shared: SharedConfiguration, position: number): LoadReport {
  const shards = [...shared.owners.keys()];
  const count = Math.min(REQUESTS, shards.length);
  const start = (position * REQUESTS) % Math.max(1, shards.length);
  return {
    type: 'load-report',
    intervalMillis: INTERVAL_MILLIS,
    shards: Array.from({ length: count }, (_, index) => ({
      shard: shards[(start + index) % shards.length] as string,
      requests: Math.ceil(REQUESTS / count),
      workMillis: SERVICE_MILLIS * Math.ceil(REQUESTS / count),
    })),
    upstreams: [...shared.upstreams].map((upstream) => ({
      upstream,
      inFlight: 2,
      serviceMillis: SERVICE_MILLIS,
      failures: 0,
    })),
  };
}
