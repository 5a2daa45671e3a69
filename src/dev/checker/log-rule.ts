/** The log: every replica commits the same entry at an index, for ever. */
import type { EntryCommitted, HistoryEvent } from './history.js';
import { NO_VIOLATIONS, type Rule, type Violation } from './rule.js';

export class LogRule implements Rule {
  private readonly committed = new Map<number, EntryCommitted>();

  take(event: HistoryEvent): readonly Violation[] {
    if (event.type !== 'entry-committed') {
      return NO_VIOLATIONS;
    }
    const known = this.committed.get(event.index);
    if (known === undefined) {
      this.committed.set(event.index, event);
      return NO_VIOLATIONS;
    }
    if (known.digest === event.digest) {
      return NO_VIOLATIONS;
    }
    const message = `entry ${event.index}: ${event.replica} committed another one than ${known.replica} did`;
    return [{ promise: 'acknowledged-survives', at: event.at, message }];
  }

  finish(): readonly Violation[] {
    return NO_VIOLATIONS;
  }
}
