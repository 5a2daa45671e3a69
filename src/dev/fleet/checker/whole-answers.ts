/** Every answer that a caller took for complete was whole and its own. */
import type { FleetHistory } from './fleet-history.js';
import type { PromiseResult } from './promise-check.js';

export function checkWholeAnswers(history: FleetHistory): PromiseResult {
  const answered = history.attempts.filter(({ verdict }) => verdict !== 'lost' && verdict !== 'refused');
  const violations = answered
    .filter(({ verdict }) => verdict !== 'whole')
    .map((attempt) => ({
      promise: 'whole-answers' as const,
      message: `${attempt.request} got a ${attempt.verdict} answer from ${attempt.router}`,
      at: attempt.at,
    }));
  return { promise: 'whole-answers', checked: answered.length, violations };
}
