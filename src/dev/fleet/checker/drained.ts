/** A draining upstream starts no new requests after the allowed time since control accepted the drain. */
import type { FleetEventRecord } from '../../journal/records.js';
import type { FleetHistory } from './fleet-history.js';
import type { CheckOptions, PromiseResult, Violation } from './promise-check.js';

/** Time after `at` at which the drain of `upstream` was undone; infinity if it wasn't. */
function returnedAt(events: readonly FleetEventRecord[], upstream: string, at: number): number {
  const back = events.find(
    (event) => event.event === 'return-accepted' && event.upstream === upstream && event.at > at,
  );
  return back?.at ?? Number.POSITIVE_INFINITY;
}

export function checkDrained(history: FleetHistory, options: CheckOptions): PromiseResult {
  const violations: Violation[] = [];
  let checked = 0;
  for (const event of history.events) {
    if (event.event !== 'drain-accepted') {
      continue;
    }
    checked += 1;
    const { upstream } = event;
    const from = event.at + options.drainMillis;
    const until = returnedAt(history.events, upstream, event.at);
    const late = history.runs.find(
      ({ start }) => start.upstream === upstream && start.at > from && start.at < until,
    );
    if (late) {
      const after = Math.round(late.start.at - event.at);
      const message = `${upstream} began ${late.start.request} ${after} ms after it was drained`;
      violations.push({ promise: 'drained', message, at: late.start.at });
    }
  }
  return { promise: 'drained', checked, violations };
}
