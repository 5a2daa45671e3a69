/** Builds the report of a fleet run and decides whether the run was good. */
import { quantile } from '../../bench/statistics.js';
import { readJournals } from '../../journal/journal-reader.js';
import { ANSWER_FAULT_KINDS, HINT_FAULT_KINDS } from '../../standins/upstream/fault-switchboard.js';
import { buildHistory, type FleetHistory } from '../checker/fleet-history.js';
import { checkFleet, type PromiseResult } from '../checker/index.js';
import type { AppliedFault } from '../faults/fault-log.js';
import type { FleetOptions } from '../fleet-options.js';
import type { FleetPlan } from '../fleet-plan.js';
import type { OwnerLoss } from '../observe/owner-loss-probe.js';
import { countOwnerChanges, type OwnershipSample } from '../observe/ownership-sampler.js';
import { effectProblems, type FaultEffect, faultEffects, faultEnd } from './fault-effects.js';
import { imbalanceOf, loadFigures, type ServiceFigures } from './load-figures.js';
import { type LossPhases, phasesOf, readOwnershipLogs } from './loss-phases.js';

/** Share of a lost owner's keys that must be served for the loss to count as over. */
const SERVED_SHARE = 0.99;

/** Minimum load after the last fault; with less, recovery isn't checked. */
const RECOVERY_SECONDS = 6;
const MILLIS_PER_SECOND = 1000;

/** Figures of one loss of an owner. */
export interface OwnerLossFigures {
  readonly upstream: string;
  readonly keys: number;
  readonly probedKeys: number;
  readonly shards: number;
  readonly unserved: number;
  readonly p50Millis: number;
  /** Time until 99% of its keys were served by other upstreams. */
  readonly servedMillis: number;
  readonly maxMillis: number;
  readonly phases: LossPhases;
}

export interface FleetReport {
  readonly deployment: string;
  readonly seconds: number;
  readonly services: readonly ServiceFigures[];
  readonly imbalance: Readonly<Record<string, number>>;
  /** Number of changes of a shard's owner during the load. */
  readonly ownerChanges: number;
  readonly ownerLosses: readonly OwnerLossFigures[];
  readonly faults: readonly { readonly type: string; readonly target: string; readonly at: number }[];
  /** Effects of faults of single upstreams. */
  readonly faultEffects: readonly FaultEffect[];
  readonly promises: readonly PromiseResult[];
  /** Problems of the run itself, and required events that did not happen. */
  readonly problems: readonly string[];
}

/** Observations of the runner, besides the journals. */
export interface FleetObservations {
  readonly options: FleetOptions;
  readonly plan: FleetPlan;
  readonly faults: readonly AppliedFault[];
  readonly ownerLosses: readonly OwnerLoss[];
  readonly samples: readonly OwnershipSample[];
  /** Names of processes that ended without a stop request. */
  readonly unexpectedEnds: readonly string[];
}

function lossFigures(loss: OwnerLoss, phases: LossPhases): OwnerLossFigures {
  const { upstream, keys, probedKeys, shards, unserved, millis } = loss;
  const times = [...millis, ...Array<number>(unserved).fill(Number.POSITIVE_INFINITY)];
  return {
    upstream,
    keys,
    probedKeys,
    shards,
    unserved,
    p50Millis: quantile(times, 0.5),
    servedMillis: quantile(times, SERVED_SHARE),
    maxMillis: Math.max(0, ...times),
    phases,
  };
}

/** Promises that every run checks; the others need a specific fault. */
const ALWAYS_CHECKED: ReadonlySet<string> = new Set([
  'single-owner',
  'at-most-once',
  'ran-is-true',
  'whole-answers',
  'configuration-kept',
  'planned-stop',
]);

/** Promises about services with keys, which fleets with declared routes don't have. */
const NEEDS_KEYS: ReadonlySet<string> = new Set(['single-owner', 'ran-is-true']);

/** Finds required events that did not happen; without them the run proves nothing. */
function missingEvents(
  observed: FleetObservations,
  history: FleetHistory,
  services: readonly ServiceFigures[],
  promises: readonly PromiseResult[],
): string[] {
  const problems: string[] = [];
  const { deployment, faults } = observed.options;
  for (const { name } of deployment.services) {
    const figures = services.find(({ service }) => service === name);
    if (figures === undefined || figures.answered === 0) {
      problems.push(`no request to ${name} was answered`);
    }
  }
  if (observed.faults.length < faults.length) {
    problems.push(`${faults.length - observed.faults.length} faults were not carried out`);
  }
  const isExpected = (promise: string): boolean =>
    ALWAYS_CHECKED.has(promise) && !(observed.options.declared && NEEDS_KEYS.has(promise));
  const unproved = promises.filter(({ promise, checked }) => isExpected(promise) && checked === 0);
  problems.push(...unproved.map(({ promise }) => `nothing was checked for ${promise}`));
  problems.push(...recoveryProblems(observed, history));
  if (faults.some(({ type }) => type === 'drain')) {
    const drained = promises.find(({ promise }) => promise === 'drained');
    problems.push(...(drained?.checked === 0 ? ['no drain was accepted'] : []));
  }
  return problems;
}

/** After the last fault each service must answer again, and a change by an operator must be accepted. */
function recoveryProblems({ options }: FleetObservations, history: FleetHistory): string[] {
  const { deployment, faults, seconds } = options;
  const overAt = Math.max(0, ...faults.map(({ at, seconds: length }) => at + length));
  if (overAt + RECOVERY_SECONDS > seconds) {
    return [];
  }
  const since = startOfLoad(history) + overAt * MILLIS_PER_SECOND;
  const answered = new Set(
    history.attempts
      .filter(({ verdict, sentAt }) => verdict === 'whole' && sentAt > since)
      .map((attempt) => attempt.service),
  );
  const isChanged = history.events.some(({ event, at }) => event === 'change-in-force' && at > since);
  return [
    ...deployment.services
      .filter(({ name }) => !answered.has(name))
      .map(({ name }) => `no request to ${name} was answered after the last fault`),
    ...(isChanged ? [] : ['no change was accepted after the last fault']),
  ];
}

function lossProblems(losses: readonly OwnerLossFigures[], observed: FleetObservations): string[] {
  const problems = losses
    .filter(({ unserved }) => unserved > 0)
    .map(({ upstream, unserved }) => `${unserved} keys of ${upstream} were not served by any other upstream`);
  const killsOwner = observed.options.faults.some(
    ({ type, target }) => type === 'kill' && target === 'owner',
  );
  return killsOwner && losses.length === 0 ? [...problems, 'no loss of an owner was measured'] : problems;
}

function upstreamCounts({ options }: FleetObservations): ReadonlyMap<string, number> {
  return new Map(options.deployment.upstreams.map(({ service, count }) => [service, count]));
}

function startOfLoad(history: FleetHistory): number {
  return history.events.find(({ event }) => event === 'load-started')?.at ?? 0;
}

/**
 * Bad answers and false hints of single upstreams, and false announcements about them: routers must serve despite these.
 * Excludes the limits and back-offs of constrained upstreams, whose requests are rejected as the upstream requires.
 */
function upstreamFaults({ faults }: FleetObservations) {
  const kinds: ReadonlySet<string> = new Set([
    ...ANSWER_FAULT_KINDS,
    ...HINT_FAULT_KINDS,
    'platform-gone',
    'platform-leaving',
    'platform-leaving-all',
  ]);
  return faults
    .filter(({ fault }) => kinds.has(fault.type))
    .map(({ fault, target, at }) => ({
      type: fault.type,
      upstream: target,
      from: at,
      to: faultEnd(at, fault.seconds),
    }));
}

/** Reads the journals and evaluates the run. */
export function makeReport(observed: FleetObservations): FleetReport {
  const records = readJournals(observed.plan.journalFolder);
  const history = buildHistory(records);
  const promises = checkFleet(records);
  const services = loadFigures(history);
  const logs = readOwnershipLogs(observed.plan);
  const ownerLosses = observed.ownerLosses.map((loss) => lossFigures(loss, phasesOf(loss, logs)));
  const loadStartedAt = startOfLoad(history);
  const effects = faultEffects(history, upstreamFaults(observed), loadStartedAt);
  return {
    deployment: observed.options.deployment.name,
    seconds: observed.options.seconds,
    services,
    imbalance: Object.fromEntries(imbalanceOf(history, upstreamCounts(observed))),
    ownerChanges: countOwnerChanges(observed.samples),
    ownerLosses,
    faults: observed.faults.map(({ fault, target, at }) => ({
      type: fault.type,
      target,
      at: (at - loadStartedAt) / MILLIS_PER_SECOND,
    })),
    faultEffects: effects,
    promises,
    problems: [
      ...missingEvents(observed, history, services, promises),
      ...lossProblems(ownerLosses, observed),
      ...effectProblems(effects),
      ...observed.unexpectedEnds.map((name) => `${name} ended unexpectedly`),
    ],
  };
}

/** Returns whether every promise held and the run provided enough evidence. */
export function isGood(report: FleetReport): boolean {
  return report.problems.length === 0 && report.promises.every(({ violations }) => violations.length === 0);
}
