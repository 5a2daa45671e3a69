/** Every answer that a caller accepted as complete was whole and belonged to its request. */
import type { AnswerVerdict } from '../../journal/records.js';
import type { FleetHistory } from './fleet-history.js';
import type { PromiseResult } from './promise-check.js';

const WITHOUT_ANSWER: ReadonlySet<AnswerVerdict> = new Set(['lost', 'refused', 'left']);

export function checkWholeAnswers(history: FleetHistory): PromiseResult {
  const answered = history.attempts.filter(({ verdict }) => !WITHOUT_ANSWER.has(verdict));
  const violations = answered
    .filter(({ verdict }) => verdict !== 'whole')
    .map((attempt) => ({
      promise: 'whole-answers' as const,
      message: `${attempt.request} got a ${attempt.verdict} answer from ${attempt.router}`,
      at: attempt.at,
    }));
  return { promise: 'whole-answers', checked: answered.length, violations };
}
