/** A request that ended no run of an upstream is never refused as quarantined. */
import type { HistoryEvent, SendId } from './history.js';
import { NO_VIOLATIONS, type Rule, type Violation } from './rule.js';

const QUARANTINED = 'quarantined';

export class InnocenceRule implements Rule {
  readonly #contents = new Map<SendId, string>();
  readonly #guilty = new Set<string>();

  check(event: HistoryEvent): readonly Violation[] {
    switch (event.type) {
      case 'request-sent':
        this.#contents.set(event.send, event.content);
        return NO_VIOLATIONS;
      case 'upstream-crashed':
        this.#guilty.add(this.#contentOf(event.send));
        return NO_VIOLATIONS;
      case 'refusal-received':
        return event.reason === QUARANTINED ? this.#checkQuarantine(event.send, event.at) : NO_VIOLATIONS;
      default:
        return NO_VIOLATIONS;
    }
  }

  finish(): readonly Violation[] {
    return NO_VIOLATIONS;
  }

  #contentOf(send: SendId): string {
    return this.#contents.get(send) ?? send;
  }

  #checkQuarantine(send: SendId, at: number): readonly Violation[] {
    const content = this.#contentOf(send);
    if (this.#guilty.has(content)) {
      return NO_VIOLATIONS;
    }
    const message = `${content}, which ended no run, was refused as quarantined`;
    return [{ promise: 'innocent-served', at, message }];
  }
}
