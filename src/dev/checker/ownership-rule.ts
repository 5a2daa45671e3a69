/** One owner per key: never two holders at the same moment, and the epochs of the effects on a key never decrease. */
import type { HistoryEvent, HoldersObserved, RequestRan } from './history.js';
import { NO_VIOLATIONS, type Rule, type Violation } from './rule.js';

interface LastEffect {
  readonly epoch: number;
  readonly incarnation: string;
}

export class OwnershipRule implements Rule {
  private readonly lastEffects = new Map<string, LastEffect>();

  check(event: HistoryEvent): readonly Violation[] {
    switch (event.type) {
      case 'holders-observed':
        return checkHolders(event);
      case 'request-ran':
        return this.checkEffect(event);
      default:
        return NO_VIOLATIONS;
    }
  }

  finish(): readonly Violation[] {
    return NO_VIOLATIONS;
  }

  private checkEffect(event: RequestRan): readonly Violation[] {
    if (event.key === null || event.epoch === null) {
      return NO_VIOLATIONS;
    }
    const last = this.lastEffects.get(event.key);
    this.lastEffects.set(event.key, { epoch: event.epoch, incarnation: event.incarnation });
    if (last === undefined || event.epoch > last.epoch) {
      return NO_VIOLATIONS;
    }
    if (event.epoch < last.epoch) {
      const message = `${event.key}: effect of epoch ${event.epoch} (${event.incarnation}) after one of ${last.epoch} (${last.incarnation})`;
      return [{ promise: 'one-owner', at: event.at, message }];
    }
    if (event.incarnation !== last.incarnation) {
      const message = `${event.key}: ${event.incarnation} and ${last.incarnation} both acted under epoch ${event.epoch}`;
      return [{ promise: 'one-owner', at: event.at, message }];
    }
    return NO_VIOLATIONS;
  }
}

function checkHolders(event: HoldersObserved): readonly Violation[] {
  const incarnations = new Set(event.holders.map((holder) => holder.incarnation));
  if (incarnations.size <= 1) {
    return NO_VIOLATIONS;
  }
  const names = event.holders.map((holder) => `${holder.incarnation} (epoch ${holder.epoch})`).join(', ');
  return [{ promise: 'one-owner', at: event.at, message: `${event.key}: held by ${names}` }];
}
