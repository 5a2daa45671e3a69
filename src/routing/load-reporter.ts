/**
 * Sums work per shard for the load reports to the control leader. A report contains a bounded number of shards: heavy
 * shards with their exact load, the others by systematic sampling, so that the reports of many routers add up to the true loads.
 */
import type { LoadReport } from '../control/messages.js';
import type { ShardId } from '../model/identifiers.js';

const REPORT_INTERVAL_MILLIS = 1000;
/** Report interval while requests wait, because their owner may be overloaded. */
const URGENT_REPORT_INTERVAL_MILLIS = 300;
/** Approximate number of shards in one report; 1,200 routers then send the leader about 77,000 entries per second. */
const SHARDS_PER_REPORT = 64;

type ShardLoad = LoadReport['shards'][number];

interface LoadCount {
  workMillis: number;
  requests: number;
}

export class LoadReporter {
  private loads = new Map<ShardId, LoadCount>();
  private lastReportAt: number | null = null;
  /** Work of light shards that no sample represents yet, as a fraction of one sample. */
  private remainder = 0.5;

  /** Adds work that was done for a shard, or the estimated work of a request for a key. */
  add(shard: ShardId, workMillis: number): void {
    const counted = this.loads.get(shard) ?? { workMillis: 0, requests: 0 };
    counted.workMillis += workMillis;
    counted.requests += 1;
    this.loads.set(shard, counted);
  }

  /** Returns the report that is due, if any, and resets the counts. `isUrgent`: requests for shards or ranges wait. */
  takeReport(now: number, isUrgent = false): LoadReport | null {
    this.lastReportAt ??= now;
    const intervalMillis = now - this.lastReportAt;
    if (intervalMillis < (isUrgent ? URGENT_REPORT_INTERVAL_MILLIS : REPORT_INTERVAL_MILLIS)) {
      return null;
    }
    const shards = this.sample();
    this.loads = new Map();
    this.lastReportAt = now;
    return { type: 'load-report', intervalMillis, shards };
  }

  /** A shard with at least as much work as one sample represents is reported with its exact work. */
  private sample(): ShardLoad[] {
    const loads = [...this.loads].map(([shard, counted]) => ({ shard, ...counted }));
    const total = loads.reduce((sum, { workMillis }) => sum + workMillis, 0);
    const sampleMillis = total / SHARDS_PER_REPORT;
    if (loads.length <= SHARDS_PER_REPORT || sampleMillis === 0) {
      return loads;
    }
    return loads.flatMap((load) => this.sampleShard(load, sampleMillis));
  }

  private sampleShard(load: ShardLoad, sampleMillis: number): ShardLoad[] {
    if (load.workMillis >= sampleMillis) {
      return [load];
    }
    this.remainder += load.workMillis / sampleMillis;
    if (this.remainder < 1) {
      return [];
    }
    this.remainder -= 1;
    const requests = (load.requests * sampleMillis) / load.workMillis;
    return [{ shard: load.shard, workMillis: sampleMillis, requests }];
  }
}
