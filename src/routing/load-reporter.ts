/**
 * Adds up work by shard for the load reports to the control leader. A report names a bounded number of shards: the
 * heavy ones exactly, the others by systematic sampling, so that the reports of many routers add up to the true loads.
 */
import type { LoadReport } from '../control/messages.js';
import type { ShardId } from '../model/identifiers.js';

const REPORT_MILLIS = 1000;
/** The same while work waits: its owner may be overwhelmed. */
const URGENT_REPORT_MILLIS = 300;
/** Shards in one report, about; 1,200 routers then send the leader some 77,000 entries a second. */
const REPORTED_SHARDS = 64;

type ShardWork = LoadReport['shards'][number];

interface CountedWork {
  workMillis: number;
  requests: number;
}

export class LoadReporter {
  private works = new Map<ShardId, CountedWork>();
  private reportedAt: number | null = null;
  /** Work of light shards that no sample stood for yet, as a share of one sample. */
  private remainder = 0.5;

  /** Work that was done for a shard, or that a request for a key will take. */
  add(shard: ShardId, workMillis: number): void {
    const counted = this.works.get(shard) ?? { workMillis: 0, requests: 0 };
    counted.workMillis += workMillis;
    counted.requests += 1;
    this.works.set(shard, counted);
  }

  /** The report due now, if one is; counting starts again. `isUrgent`: work of shards or ranges waits. */
  take(now: number, isUrgent = false): LoadReport | null {
    this.reportedAt ??= now;
    const intervalMillis = now - this.reportedAt;
    if (intervalMillis < (isUrgent ? URGENT_REPORT_MILLIS : REPORT_MILLIS)) {
      return null;
    }
    const shards = this.sample();
    this.works = new Map();
    this.reportedAt = now;
    return { type: 'load-report', intervalMillis, shards };
  }

  /** A shard with at least the work that one sample stands for is named with its own work. */
  private sample(): ShardWork[] {
    const works = [...this.works].map(([shard, counted]) => ({ shard, ...counted }));
    const total = works.reduce((sum, { workMillis }) => sum + workMillis, 0);
    const sampleWork = total / REPORTED_SHARDS;
    if (works.length <= REPORTED_SHARDS || sampleWork === 0) {
      return works;
    }
    return works.flatMap((work) => this.sampled(work, sampleWork));
  }

  private sampled(work: ShardWork, sampleWork: number): ShardWork[] {
    if (work.workMillis >= sampleWork) {
      return [work];
    }
    this.remainder += work.workMillis / sampleWork;
    if (this.remainder < 1) {
      return [];
    }
    this.remainder -= 1;
    const requests = (work.requests * sampleWork) / work.workMillis;
    return [{ shard: work.shard, workMillis: sampleWork, requests }];
  }
}
