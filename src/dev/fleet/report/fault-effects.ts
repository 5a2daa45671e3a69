/** Effects of a fault of one upstream on its service: share of whole answers, and the upstream's share of the runs. */
import { type FleetHistory, groupBy } from '../checker/fleet-history.js';

const MILLIS_PER_SECOND = 1000;
/** Time within which routers must react to a bad upstream. */
export const REACTION_MILLIS = 3000;

/** A fault of one upstream, with times on the clock of the journals. */
export interface UpstreamFault {
  readonly type: string;
  readonly upstream: string;
  readonly from: number;
  readonly to: number;
}

/** Requests scheduled within one interval; shares are 0 to 1, `null` if there were no requests. */
export interface IntervalEffect {
  readonly requests: number;
  readonly answered: number;
  /** Share of the service's requests whose last attempt was answered whole. */
  readonly goodShare: number | null;
  /** Share of the service's runs that started on the upstream. */
  readonly runShare: number | null;
}

export interface FaultEffect {
  readonly type: string;
  readonly upstream: string;
  readonly service: string;
  readonly before: IntervalEffect;
  /** The first `REACTION_MILLIS` of the fault. */
  readonly atFirst: IntervalEffect;
  /** The rest of the fault. */
  readonly afterReaction: IntervalEffect;
}

function shareOf(part: number, whole: number): number | null {
  return whole === 0 ? null : part / whole;
}

function intervalEffect(
  history: FleetHistory,
  service: string,
  upstream: string,
  from: number,
  to: number,
): IntervalEffect {
  const ends = history.attempts.filter(
    (attempt) =>
      attempt.last && attempt.service === service && attempt.scheduledAt >= from && attempt.scheduledAt < to,
  );
  const answered = ends.filter(({ verdict }) => verdict === 'whole').length;
  const runs = history.runs.filter(
    ({ start }) => start.service === service && start.at >= from && start.at < to,
  );
  const own = runs.filter(({ start }) => start.upstream === upstream).length;
  return {
    requests: ends.length,
    answered,
    goodShare: shareOf(answered, ends.length),
    runShare: shareOf(own, runs.length),
  };
}

/** Returns the effects of these faults; omits faults whose upstream ran no request. */
export function faultEffects(
  history: FleetHistory,
  faults: readonly UpstreamFault[],
  loadStartedAt: number,
): FaultEffect[] {
  const byUpstream = groupBy(history.runs, ({ start }) => start.upstream);
  return faults.flatMap(({ type, upstream, from, to }) => {
    const service = byUpstream.get(upstream)?.[0]?.start.service;
    if (service === undefined) {
      return [];
    }
    const reactedAt = Math.min(to, from + REACTION_MILLIS);
    const effectWithin = (start: number, end: number) =>
      intervalEffect(history, service, upstream, start, end);
    return [
      {
        type,
        upstream,
        service,
        before: effectWithin(loadStartedAt, from),
        atFirst: effectWithin(from, reactedAt),
        afterReaction: effectWithin(reactedAt, to),
      },
    ];
  });
}

/** Minimum share of the service's requests that are answered under a fault, after routers had time to react. */
const MIN_GOOD_SHARE = 0.9;
/** Faults that don't impair the upstream, so it must still receive requests. */
const HARMLESS_TYPES: ReadonlySet<string> = new Set(['platform-gone', 'load-frozen', 'load-wild']);

/** Returns the problems that these effects show. */
export function effectProblems(effects: readonly FaultEffect[]): string[] {
  return effects.flatMap(({ type, upstream, service, afterReaction }) => {
    const { answered, requests, goodShare, runShare } = afterReaction;
    const problems: string[] = [];
    if (goodShare !== null && goodShare < MIN_GOOD_SHARE) {
      problems.push(
        `${type} of ${upstream}: ${answered} of ${requests} requests to ${service} answered after the reaction`,
      );
    }
    if (HARMLESS_TYPES.has(type) && runShare === 0) {
      problems.push(`${type} of ${upstream}: it received no more requests although it served them correctly`);
    }
    return problems;
  });
}

/** Formats one interval: answered requests of all, and the upstream's share of the runs. */
export function formatInterval({ requests, answered, runShare }: IntervalEffect): string {
  const runs = runShare === null ? '–' : `${(runShare * 100).toFixed(1)}%`;
  return `${answered}/${requests}, ${runs}`;
}

/** End of a fault in the journals' unit. */
export function faultEnd(at: number, seconds: number): number {
  return at + seconds * MILLIS_PER_SECOND;
}
