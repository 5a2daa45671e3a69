/** Zones out of use: no router sends new requests to their upstreams once the operator's order has had time to reach all. */
import type { EvacuationAnswered, HistoryEvent, RequestDispatched } from './history.js';
import { NO_VIOLATIONS, type Rule, type Violation } from './rule.js';

/** Time within which an acknowledged order is in force everywhere: routers without contact for this long serve nothing. */
export const EVACUATED_MILLIS = 3000;

export class EvacuationRule implements Rule {
  /** Time from which the order is in force, by upstream of a zone out of use. */
  private readonly inForceFrom = new Map<string, number>();

  check(event: HistoryEvent): readonly Violation[] {
    switch (event.type) {
      case 'evacuation-answered':
        this.note(event);
        return NO_VIOLATIONS;
      case 'request-dispatched':
        return this.checkDispatch(event);
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
        this.inForceFrom.set(upstream, at + EVACUATED_MILLIS);
      } else {
        this.inForceFrom.delete(upstream);
      }
    }
  }

  private checkDispatch({ at, router, send, upstream }: RequestDispatched): readonly Violation[] {
    if (at <= (this.inForceFrom.get(upstream) ?? Number.POSITIVE_INFINITY)) {
      return NO_VIOLATIONS;
    }
    const message = `${router} sent ${send} to ${upstream}, whose zone is out of use`;
    return [{ promise: 'leaving-gets-no-work', at, message }];
  }
}
