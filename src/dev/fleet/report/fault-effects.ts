/** What a fault of one upstream did to its service: share of good answers, and how much work the upstream still got. */
import { type FleetHistory, groupBy } from '../checker/fleet-history.js';

const MILLIS_PER_SECOND = 1000;
/** Routers must have reacted to a bad upstream by then. */
export const REACTION_MILLIS = 3000;

/** A fault that met one upstream, on the clock of the journals. */
export interface UpstreamFault {
  readonly type: string;
  readonly upstream: string;
  readonly from: number;
  readonly to: number;
}

/** Requests that were due within one stretch of time; shares are 0 to 1, `null` if there were no requests. */
export interface StretchEffect {
  readonly requests: number;
  readonly answered: number;
  /** Share of the service's requests that were answered whole in the end. */
  readonly goodShare: number | null;
  /** Share of the service's runs that began on the upstream. */
  readonly runShare: number | null;
}

export interface FaultEffect {
  readonly type: string;
  readonly upstream: string;
  readonly service: string;
  readonly before: StretchEffect;
  /** From the fault on, for `REACTION_MILLIS`. */
  readonly atFirst: StretchEffect;
  /** The rest of the fault. */
  readonly afterReaction: StretchEffect;
}

function shareOf(part: number, whole: number): number | null {
  return whole === 0 ? null : part / whole;
}

function stretchEffect(
  history: FleetHistory,
  service: string,
  upstream: string,
  from: number,
  to: number,
): StretchEffect {
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

/** The effects of these faults; one whose upstream never ran anything is left out. */
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
    const stretch = (start: number, end: number) => stretchEffect(history, service, upstream, start, end);
    return [
      {
        type,
        upstream,
        service,
        before: stretch(loadStartedAt, from),
        atFirst: stretch(from, reactedAt),
        afterReaction: stretch(reactedAt, to),
      },
    ];
  });
}

/** A fault must leave this share of its service's requests answered once routers had time to react. */
const LEAST_GOOD_SHARE = 0.9;
/** Faults under which the upstream is as good as before and must go on getting work. */
const HARMLESS: ReadonlySet<string> = new Set(['platform-gone', 'load-frozen', 'load-wild']);

/** What is wrong with these effects. */
export function effectProblems(effects: readonly FaultEffect[]): string[] {
  return effects.flatMap(({ type, upstream, service, afterReaction }) => {
    const { answered, requests, goodShare, runShare } = afterReaction;
    const problems: string[] = [];
    if (goodShare !== null && goodShare < LEAST_GOOD_SHARE) {
      problems.push(
        `${type} of ${upstream}: ${answered} of ${requests} requests to ${service} answered after the reaction`,
      );
    }
    if (HARMLESS.has(type) && runShare === 0) {
      problems.push(`${type} of ${upstream}: it got no more work although it served well`);
    }
    return problems;
  });
}

/** One stretch for people: answered of requests, and the upstream's share of the runs. */
export function formatStretch({ requests, answered, runShare }: StretchEffect): string {
  const runs = runShare === null ? '–' : `${(runShare * 100).toFixed(1)}%`;
  return `${answered}/${requests}, ${runs}`;
}

/** Length of a fault in the journals' unit. */
export function faultEnd(at: number, seconds: number): number {
  return at + seconds * MILLIS_PER_SECOND;
}
