/** A non-repeatable request takes effect at most once, even if it was resent. */
import { type FleetHistory, groupBy } from './fleet-history.js';
import type { PromiseResult, Violation } from './promise-check.js';

export function checkAtMostOnce(history: FleetHistory): PromiseResult {
  const effects = history.runs.filter((run) => run.effect !== undefined);
  const byKey = groupBy(effects, ({ start }) =>
    start.idempotencyKey === null ? null : `${start.service}/${start.idempotencyKey}`,
  );
  const violations: Violation[] = [];
  for (const [key, runs] of byKey) {
    if (runs.length > 1) {
      const where = runs.map((run) => run.start.upstream).join(', ');
      const at = runs.at(-1)?.effect?.at ?? 0;
      violations.push({ promise: 'at-most-once', message: `${key} ran ${runs.length} times: ${where}`, at });
    }
  }
  return { promise: 'at-most-once', checked: byKey.size, violations };
}
