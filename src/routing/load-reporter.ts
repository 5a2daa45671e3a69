/** Adds up requests and service times for the load reports to the control leader. */
import type { LoadReport } from '../control/messages.js';
import type { ShardId } from '../model/identifiers.js';
import type { UpstreamState } from './upstream-state.js';

const REPORT_MILLIS = 1000;

interface ShardWork {
  requests: number;
  workMillis: number;
}

export class LoadReporter {
  private shards = new Map<ShardId, ShardWork>();
  private reportedAt: number | null = null;

  /** A request of a shard was answered after `workMillis`. */
  answered(shard: ShardId, workMillis: number): void {
    const work = this.shards.get(shard);
    if (work === undefined) {
      this.shards.set(shard, { requests: 1, workMillis });
      return;
    }
    work.requests += 1;
    work.workMillis += workMillis;
  }

  /** The report due now, if one is; counting starts again. */
  take(upstreams: Iterable<UpstreamState>, now: number): LoadReport | null {
    this.reportedAt ??= now;
    const intervalMillis = now - this.reportedAt;
    if (intervalMillis < REPORT_MILLIS) {
      return null;
    }
    const shards = [...this.shards].map(([shard, work]) => ({ shard, ...work }));
    this.shards = new Map();
    this.reportedAt = now;
    return { type: 'load-report', intervalMillis, shards, upstreams: [...upstreams].map(reportUpstream) };
  }
}

function reportUpstream(upstream: UpstreamState): LoadReport['upstreams'][number] {
  const failures = upstream.reportedFailures;
  upstream.reportedFailures = 0;
  return {
    upstream: upstream.id,
    inFlight: upstream.inFlight,
    serviceMillis: upstream.serviceMillis,
    failures,
  };
}
