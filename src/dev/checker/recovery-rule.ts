/** Recovery: after the faults end, every key has an owner again, and requests and changes succeed. */
import type { HistoryEvent } from './history.js';
import { NO_VIOLATIONS, type Rule, type Violation } from './rule.js';

export class RecoveryRule implements Rule {
  check(event: HistoryEvent): readonly Violation[] {
    if (event.type !== 'recovery-observed' || event.recovered) {
      return NO_VIOLATIONS;
    }
    return [{ promise: 'recovers', at: event.at, message: `${event.subject} did not recover` }];
  }

  finish(): readonly Violation[] {
    return NO_VIOLATIONS;
  }
}
