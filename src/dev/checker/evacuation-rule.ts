/** A zone that is out of use: no router sends new work to its upstreams once the operator's order has had time to reach all. */
import type { EvacuationAnswered, HistoryEvent, RequestDispatched } from './history.js';
import { NO_VIOLATIONS, type Rule, type Violation } from './rule.js';

/** Time within which an acknowledged order holds everywhere: routers that hear nothing for so long serve nothing. */
export const EVACUATED_MILLIS = 3000;

export class EvacuationRule implements Rule {
  /** When the order stands for each upstream of a zone that is out of use. */
  private readonly holdsFrom = new Map<string, number>();

  take(event: HistoryEvent): readonly Violation[] {
    switch (event.type) {
      case 'evacuation-answered':
        this.note(event);
        return NO_VIOLATIONS;
      case 'request-dispatched':
        return this.judge(event);
      default:
        return NO_VIOLATIONS;
    }
  }

  finish(): readonly Violation[] {
    return NO_VIOLATIONS;
  }

  private note({ at, isOut, upstreams }: EvacuationAnswered): void {
    for (const upstream of upstreams) {
      if (isOut) {
        this.holdsFrom.set(upstream, at + EVACUATED_MILLIS);
      } else {
        this.holdsFrom.delete(upstream);
      }
    }
  }

  private judge({ at, router, send, upstream }: RequestDispatched): readonly Violation[] {
    if (at <= (this.holdsFrom.get(upstream) ?? Number.POSITIVE_INFINITY)) {
      return NO_VIOLATIONS;
    }
    const message = `${router} sent ${send} to ${upstream}, whose zone is out of use`;
    return [{ promise: 'leaving-gets-no-work', at, message }];
  }
}
