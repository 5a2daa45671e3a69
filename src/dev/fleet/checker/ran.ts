/** Every non-repeatable request that was answered successfully took effect. */
import type { FleetHistory } from './fleet-history.js';
import type { PromiseResult } from './promise-check.js';

export function checkRan(history: FleetHistory): PromiseResult {
  const ran = new Set(history.runs.filter((run) => run.effect !== undefined).map((run) => run.start.request));
  const answered = history.attempts.filter(
    (attempt) => attempt.idempotencyKey !== null && attempt.verdict === 'whole',
  );
  const violations = answered
    .filter((attempt) => !ran.has(attempt.request))
    .map((attempt) => ({
      promise: 'ran-is-true' as const,
      message: `${attempt.request} was answered by ${attempt.router} but never took effect`,
      at: attempt.at,
    }));
  return { promise: 'ran-is-true', checked: answered.length, violations };
}
