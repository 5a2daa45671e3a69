/** A caller that was told `not-run` was told the truth: neither before nor after did that request take effect. */
import type { AttemptRecord } from '../../journal/records.js';
import { type FleetHistory, groupBy, type Run } from './fleet-history.js';
import type { PromiseResult, Violation } from './promise-check.js';

function describe(attempt: AttemptRecord, run: Run): Violation {
  const { request, router, reason } = attempt;
  const message = `${request} was told not-run (${reason}) by ${router} but ran on ${run.start.upstream}`;
  return { promise: 'not-run-is-true', message, at: attempt.at };
}

export function checkNotRun(history: FleetHistory): PromiseResult {
  const effects = history.runs.filter((run) => run.effect !== undefined);
  const byRouterRequest = groupBy(effects, (run) => run.start.routerRequest);
  const byRequest = groupBy(effects, (run) => run.start.request);
  const violations: Violation[] = [];
  const told = history.attempts.filter((attempt) => attempt.outcome === 'not-run');
  for (const attempt of told) {
    const run = attempt.routerRequest === null ? undefined : byRouterRequest.get(attempt.routerRequest)?.[0];
    if (run) {
      violations.push(describe(attempt, run));
    }
  }
  for (const [request, attempts] of groupBy(history.attempts, (attempt) => attempt.request)) {
    const run = byRequest.get(request)?.[0];
    const [first] = attempts;
    const alwaysNotRun = attempts.every((attempt) => attempt.outcome === 'not-run');
    const known = violations.some((violation) => violation.message.startsWith(`${request} `));
    if (run && first && alwaysNotRun && !known) {
      violations.push(describe(first, run));
    }
  }
  return { promise: 'not-run-is-true', checked: told.length, violations };
}
