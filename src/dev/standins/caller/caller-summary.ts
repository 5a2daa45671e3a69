/** Counts and latencies of one caller's requests by service. */
import { build, type Histogram } from 'hdr-histogram-js';
import type { Outcome } from '../../../model/outcome.js';
import type { AnswerVerdict } from '../../journal/records.js';

const HIGHEST_LATENCY_MICROS = 120_000_000;
const MICROS_PER_MILLI = 1000;

/** The result of a request after all its attempts. */
export interface RequestEnd {
  readonly service: string;
  readonly verdict: AnswerVerdict;
  readonly outcome: Outcome | null;
  /** From the scheduled time of the request to its end. */
  readonly latencyMillis: number;
}

/** Requests of one service. Latencies cover answered requests only and count from their scheduled times. */
export interface ServiceSummary {
  readonly service: string;
  readonly requests: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly failed: number;
  readonly p50Millis: number;
  readonly p99Millis: number;
  readonly p999Millis: number;
  readonly maxMillis: number;
}

interface ServiceCounts {
  requests: number;
  answered: number;
  notRun: number;
  unknown: number;
  failed: number;
  readonly latency: Histogram;
}

function makeCounts(): ServiceCounts {
  const latency = build({ highestTrackableValue: HIGHEST_LATENCY_MICROS, numberOfSignificantValueDigits: 3 });
  return { requests: 0, answered: 0, notRun: 0, unknown: 0, failed: 0, latency };
}

export class CallerSummary {
  readonly #services = new Map<string, ServiceCounts>();

  add(end: RequestEnd): void {
    const counts = this.#services.get(end.service) ?? makeCounts();
    this.#services.set(end.service, counts);
    counts.requests += 1;
    if (end.verdict === 'whole') {
      counts.answered += 1;
      counts.latency.recordValue(Math.max(1, Math.round(end.latencyMillis * MICROS_PER_MILLI)));
    } else if (end.outcome === 'not-run') {
      counts.notRun += 1;
    } else if (end.outcome === 'unknown' || end.verdict === 'lost') {
      counts.unknown += 1;
    } else {
      counts.failed += 1;
    }
  }

  services(): ServiceSummary[] {
    return [...this.#services.entries()]
      .sort(([left], [right]) => left.localeCompare(right))
      .map(([service, counts]) => ({
        service,
        requests: counts.requests,
        answered: counts.answered,
        notRun: counts.notRun,
        unknown: counts.unknown,
        failed: counts.failed,
        p50Millis: counts.latency.getValueAtPercentile(50) / MICROS_PER_MILLI,
        p99Millis: counts.latency.getValueAtPercentile(99) / MICROS_PER_MILLI,
        p999Millis: counts.latency.getValueAtPercentile(99.9) / MICROS_PER_MILLI,
        maxMillis: counts.latency.maxValue / MICROS_PER_MILLI,
      }));
  }
}
