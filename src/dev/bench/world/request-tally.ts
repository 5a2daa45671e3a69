/**
 * Counts requests and their outcomes as callers see them. A request counts if it is sent within the measured window;
 * goodput counts the good answers within the window, regardless of when their requests were sent.
 */
import type { ServiceName } from '../../../model/identifiers.js';
import { quantile } from '../statistics.js';
import type { FinalAnswer } from './model-router.js';

type Refusal = Extract<FinalAnswer, { type: 'refuse' }>;

export interface ServiceCounts {
  offered: number;
  /** Requests answered by an upstream within the deadline. */
  good: number;
  /** Good answers within the window. */
  goodInWindow: number;
  late: number;
  notRun: number;
  unknown: number;
  readonly reasons: Map<string, number>;
  /** Milliseconds from the first attempt of the caller to the good answer. */
  readonly latencies: number[];
  /** Time spent in the router by requests that it refused. */
  readonly refusalMillis: number[];
  /** Retry-After values of refusals. */
  readonly retryAfters: number[];
}

/** One answered request, for time series. */
export interface TallyEntry {
  readonly service: ServiceName;
  readonly key: string | null;
  /** Time of the first attempt of the caller. */
  readonly sentAt: number;
  readonly answeredAt: number;
  readonly good: boolean;
}

export class RequestTally {
  readonly entries: TallyEntry[] = [];
  private readonly services = new Map<ServiceName, ServiceCounts>();

  /** Counts requests sent from `from` up to, not including, `to`. */
  constructor(
    readonly from: number,
    readonly to: number,
  ) {}

  counts(service: ServiceName): ServiceCounts {
    let counts = this.services.get(service);
    if (counts === undefined) {
      counts = {
        offered: 0,
        good: 0,
        goodInWindow: 0,
        late: 0,
        notRun: 0,
        unknown: 0,
        reasons: new Map(),
        latencies: [],
        refusalMillis: [],
        retryAfters: [],
      };
      this.services.set(service, counts);
    }
    return counts;
  }

  recordSent(service: ServiceName, sentAt: number): void {
    if (this.isWithin(sentAt)) {
      this.counts(service).offered += 1;
    }
  }

  /** Records the final answer to a request. */
  recordAnswer(entry: TallyEntry, answer: FinalAnswer): void {
    const counts = this.counts(entry.service);
    if (entry.good && this.isWithin(entry.answeredAt)) {
      counts.goodInWindow += 1;
    }
    if (!this.isWithin(entry.sentAt)) {
      return;
    }
    this.entries.push(entry);
    if (answer.type === 'refuse') {
      this.countRefusal(counts, answer);
      return;
    }
    if (entry.good) {
      counts.good += 1;
      counts.latencies.push(entry.answeredAt - entry.sentAt);
    } else {
      counts.late += 1;
    }
  }

  /** Records a refusal, which the caller may retry. */
  recordRefusal(service: ServiceName, answer: Refusal, sentAt: number): void {
    if (!this.isWithin(sentAt)) {
      return;
    }
    const counts = this.counts(service);
    counts.refusalMillis.push(answer.answeredAt - answer.arrivedAt);
    if (answer.retryAfterMillis !== null) {
      counts.retryAfters.push(answer.retryAfterMillis);
    }
  }

  goodPerSecond(service: ServiceName): number {
    return this.counts(service).goodInWindow / ((this.to - this.from) / 1000);
  }

  /** Returns the share of good requests among those offered; 1 if none were offered. */
  goodShare(service: ServiceName): number {
    const { good, offered } = this.counts(service);
    return offered === 0 ? 1 : good / offered;
  }

  latency(service: ServiceName, share: number): number {
    return quantile(this.counts(service).latencies, share);
  }

  /** Returns the sum of one count over all services. */
  total(field: 'offered' | 'good' | 'late' | 'notRun' | 'unknown'): number {
    return [...this.services.values()].reduce((sum, counts) => sum + counts[field], 0);
  }

  /** Returns the good share for each bucket of the send time. */
  goodShareOverTime(service: ServiceName, bucketMillis: number): { at: number; share: number }[] {
    const buckets = new Map<number, { good: number; all: number }>();
    for (const entry of this.entries) {
      if (entry.service === service) {
        const at = Math.floor(entry.sentAt / bucketMillis) * bucketMillis;
        const bucket = buckets.get(at) ?? { good: 0, all: 0 };
        bucket.all += 1;
        bucket.good += entry.good ? 1 : 0;
        buckets.set(at, bucket);
      }
    }
    return [...buckets]
      .sort(([left], [right]) => left - right)
      .map(([at, { good, all }]) => ({ at, share: good / all }));
  }

  private isWithin(time: number): boolean {
    return time >= this.from && time < this.to;
  }

  private countRefusal(counts: ServiceCounts, answer: Refusal): void {
    if (answer.outcome === 'unknown') {
      counts.unknown += 1;
    } else {
      counts.notRun += 1;
    }
    const name = `${answer.reason}/${answer.outcome}`;
    counts.reasons.set(name, (counts.reasons.get(name) ?? 0) + 1);
  }
}
