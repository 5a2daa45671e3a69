/** After the load, no router has pending requests, not even of callers that disconnected. */
import type { FleetHistory } from './fleet-history.js';
import type { PromiseResult, Violation } from './promise-check.js';

export function checkNothingLeftOver(history: FleetHistory): PromiseResult {
  const violations: Violation[] = [];
  let checked = 0;
  for (const event of history.events) {
    if (event.event !== 'router-left-over') {
      continue;
    }
    checked += Number(event.requests !== null);
    if (event.requests !== null && event.requests > 0) {
      const message = `${event.router} still had ${event.requests} pending requests after the load`;
      violations.push({ promise: 'nothing-left-over', message, at: event.at });
    }
  }
  return { promise: 'nothing-left-over', checked, violations };
}
