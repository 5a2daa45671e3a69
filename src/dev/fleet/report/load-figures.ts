/** Figures of a run from the callers' journals. */
import { quantile } from '../../bench/statistics.js';
import type { AttemptRecord } from '../../journal/records.js';
import { type FleetHistory, groupBy } from '../checker/fleet-history.js';

const MILLIS_PER_SECOND = 1000;
/** Time without an answer after which the key of a request counts as unavailable. */
const LATE_MILLIS = 500;

/** Figures of one service; all attempts of a request count as one. */
export interface ServiceFigures {
  readonly service: string;
  readonly requests: number;
  readonly answered: number;
  /** Requests whose last attempt was refused as `not-run`. */
  readonly refused: number;
  /** Requests whose last attempt ended as `unknown` or without an answer. */
  readonly unknown: number;
  readonly failed: number;
  /** Latency of answered requests, from their scheduled times. */
  readonly p50Millis: number;
  readonly p99Millis: number;
  /** Seconds for which the keys were unavailable, summed over keys. */
  readonly unavailableKeySeconds: number;
}

interface Interval {
  readonly from: number;
  readonly to: number;
}

function totalLength(intervals: readonly Interval[]): number {
  const ordered = [...intervals].sort((left, right) => left.from - right.from);
  let total = 0;
  let end = Number.NEGATIVE_INFINITY;
  for (const { from, to } of ordered) {
    total += Math.max(0, to - Math.max(from, end));
    end = Math.max(end, to);
  }
  return total;
}

/**
 * Each request without a whole answer in time adds the interval from its scheduled time to the next whole answer for its
 * key, or to the last end of any request for the key if there was none. Overlapping intervals count once.
 */
function unavailableMillis(ends: readonly AttemptRecord[]): number {
  const answers = ends.filter(({ verdict }) => verdict === 'whole').map(({ at }) => at);
  answers.sort((left, right) => left - right);
  const late = ends.filter(
    ({ verdict, at, scheduledAt }) => verdict !== 'whole' || at - scheduledAt > LATE_MILLIS,
  );
  const lastEnd = Math.max(0, ...ends.map(({ at }) => at));
  return totalLength(
    late.map(({ scheduledAt }) => ({
      from: scheduledAt,
      to: answers.find((at) => at > scheduledAt) ?? lastEnd,
    })),
  );
}

function figuresOf(service: string, ends: readonly AttemptRecord[]): ServiceFigures {
  const whole = ends.filter(({ verdict }) => verdict === 'whole');
  const refused = ends.filter(({ outcome, verdict }) => verdict === 'refused' && outcome === 'not-run');
  const unknown = ends.filter(({ outcome, verdict }) => outcome === 'unknown' || verdict === 'lost');
  const latencies = whole.map(({ at, scheduledAt }) => at - scheduledAt);
  const byKey = groupBy(ends, ({ key }) => key);
  const unavailable = [...byKey.values()].reduce((sum, ofKey) => sum + unavailableMillis(ofKey), 0);
  return {
    service,
    requests: ends.length,
    answered: whole.length,
    refused: refused.length,
    unknown: unknown.length,
    failed: ends.length - whole.length - refused.length - unknown.length,
    p50Millis: quantile(latencies, 0.5),
    p99Millis: quantile(latencies, 0.99),
    unavailableKeySeconds: unavailable / MILLIS_PER_SECOND,
  };
}

/** Returns the figures of each service, sorted by name. */
export function loadFigures(history: FleetHistory): ServiceFigures[] {
  const ends = history.attempts.filter(({ last }) => last);
  const byService = groupBy(ends, ({ service }) => service);
  const services = [...byService.keys()].sort();
  return services.map((service) => figuresOf(service, byService.get(service) ?? []));
}

/** Ratio of the most loaded upstream's runs to the mean over all `counts` upstreams, for each service. */
export function imbalanceOf(
  history: FleetHistory,
  counts: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const byService = groupBy(history.runs, ({ start }) => start.service);
  const imbalances = new Map<string, number>();
  for (const [service, count] of counts) {
    const runs = byService.get(service) ?? [];
    const byUpstream = groupBy(runs, ({ start }) => start.upstream);
    const most = Math.max(0, ...[...byUpstream.values()].map((ofUpstream) => ofUpstream.length));
    imbalances.set(service, runs.length === 0 ? 0 : most / (runs.length / count));
  }
  return imbalances;
}
