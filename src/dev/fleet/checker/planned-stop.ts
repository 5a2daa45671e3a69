/** A planned stop of an upstream or a router interrupts no request in flight, and completes. */
import type { AttemptRecord } from '../../journal/records.js';
import type { FleetHistory } from './fleet-history.js';
import type { CheckOptions, PromiseResult, Violation } from './promise-check.js';
import { findRunOrigins, type RunOrigin } from './run-origins.js';

/** Time of the last kill before `at`; requests in flight then were not interrupted by a planned stop. */
function lastKillBefore(history: FleetHistory, process: string, at: number): number {
  const kills = history.events.filter(
    (event) => event.event === 'killed' && event.process === process && event.at < at,
  );
  return kills.at(-1)?.at ?? Number.NEGATIVE_INFINITY;
}

/** Finds runs of the process that never ended. */
function interruptedRuns(history: FleetHistory, process: string, stoppingAt: number): Violation[] {
  const killedAt = lastKillBefore(history, process, stoppingAt);
  return history.runs
    .filter(({ start }) => start.process === process && start.at > killedAt && start.at < stoppingAt)
    .filter(({ end }) => end === undefined)
    .map(({ start }) => ({
      promise: 'planned-stop' as const,
      message: `${process} stopped during ${start.request}`,
      at: start.at,
    }));
}

/** Returns whether this attempt itself reached an upstream; a later one of the same request runs after it, and an earlier one from another router. */
function reachedUpstream(
  { runs }: FleetHistory,
  originOf: RunOrigin,
  { request, router, sentAt, at }: AttemptRecord,
): boolean {
  return runs
    .filter(({ start }) => start.request === request && start.at >= sentAt && start.at <= at)
    .some((run) => (originOf(run) ?? router) === router);
}

/** Returns whether connections to the attempt's router were ended by a fault while it was under way. */
function hadEndingConnections({ events }: FleetHistory, { router, sentAt, at }: AttemptRecord): boolean {
  const changes = events.filter(
    (event) =>
      (event.event === 'connections-ending' || event.event === 'connections-kept') &&
      event.processes.includes(router),
  );
  const before = changes.filter((change) => change.at <= sentAt).at(-1);
  const during = changes.some((change) => change.at > sentAt && change.at <= at);
  return during || before?.event === 'connections-ending';
}

/**
 * Finds attempts that were at the router when it stopped and got no answer. A pipelined attempt that never ran counts as
 * not read, because the answer before it closed the connection.
 */
function unansweredAttempts(
  history: FleetHistory,
  originOf: RunOrigin,
  process: string,
  stoppingAt: number,
  options: CheckOptions,
): Violation[] {
  return history.attempts
    .filter((attempt) => attempt.router === process && attempt.verdict === 'lost')
    .filter((attempt) => attempt.sentAt < stoppingAt - options.stopMarginMillis && attempt.at >= stoppingAt)
    .filter((attempt) => !attempt.pipelined || reachedUpstream(history, originOf, attempt))
    .filter((attempt) => !hadEndingConnections(history, attempt))
    .map((attempt) => ({
      promise: 'planned-stop' as const,
      message: `${process} stopped and left ${attempt.request} without an answer`,
      at: attempt.at,
    }));
}

export function checkPlannedStop(history: FleetHistory, options: CheckOptions): PromiseResult {
  const violations: Violation[] = [];
  const originOf = findRunOrigins(history);
  let checked = 0;
  for (const event of history.events) {
    if (event.event === 'stopping') {
      checked += 1;
      violations.push(...interruptedRuns(history, event.process, event.at));
      violations.push(...unansweredAttempts(history, originOf, event.process, event.at, options));
    }
    if (event.event === 'stopped' && event.result === 'killed') {
      const message = `${event.process} did not stop by itself and was killed`;
      violations.push({ promise: 'planned-stop', message, at: event.at });
    }
  }
  return { promise: 'planned-stop', checked, violations };
}
