/** A `not-run` outcome is true: the request took effect neither before nor after it was reported. */
import type { AttemptRecord } from '../../journal/records.js';
import { type FleetHistory, groupBy, type Run } from './fleet-history.js';
import type { PromiseResult, Violation } from './promise-check.js';

function violationOf(attempt: AttemptRecord, run: Run): Violation {
  const { request, router, reason } = attempt;
  const message = `${request} was reported as not-run (${reason}) by ${router} but ran on ${run.start.upstream}`;
  return { promise: 'not-run-is-true', message, at: attempt.at };
}

export function checkNotRun(history: FleetHistory): PromiseResult {
  const effects = history.runs.filter((run) => run.effect !== undefined);
  const byRouterRequest = groupBy(effects, (run) => run.start.routerRequest);
  const byRequest = groupBy(effects, (run) => run.start.request);
  const violations: Violation[] = [];
  const reported = history.attempts.filter((attempt) => attempt.outcome === 'not-run');
  for (const attempt of reported) {
    const run = attempt.routerRequest === null ? undefined : byRouterRequest.get(attempt.routerRequest)?.[0];
    if (run) {
      violations.push(violationOf(attempt, run));
    }
  }
  for (const [request, attempts] of groupBy(history.attempts, (attempt) => attempt.request)) {
    const run = byRequest.get(request)?.[0];
    const [first] = attempts;
    const alwaysNotRun = attempts.every((attempt) => attempt.outcome === 'not-run');
    const alreadyReported = violations.some((violation) => violation.message.startsWith(`${request} `));
    if (run && first && alwaysNotRun && !alreadyReported) {
      violations.push(violationOf(first, run));
    }
  }
  return { promise: 'not-run-is-true', checked: reported.length, violations };
}
