/** The log: all replicas always commit the same entry at an index. */
import type { EntryCommitted, HistoryEvent } from './history.js';
import { NO_VIOLATIONS, type Rule, type Violation } from './rule.js';

export class LogRule implements Rule {
  private readonly committed = new Map<number, EntryCommitted>();

  check(event: HistoryEvent): readonly Violation[] {
    if (event.type !== 'entry-committed') {
      return NO_VIOLATIONS;
    }
    const first = this.committed.get(event.index);
    if (first === undefined) {
      this.committed.set(event.index, event);
      return NO_VIOLATIONS;
    }
    if (first.digest === event.digest) {
      return NO_VIOLATIONS;
    }
    const message = `entry ${event.index}: ${event.replica} committed a different entry than ${first.replica}`;
    return [{ promise: 'acknowledged-survives', at: event.at, message }];
  }

  finish(): readonly Violation[] {
    return NO_VIOLATIONS;
  }
}
