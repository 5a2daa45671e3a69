/**
 * What ran: nothing whose caller was told that it did not run, before or after; and what must not be repeated at most
 * once an idempotency key.
 */
import type { HistoryEvent, RefusalReceived, RequestRan, RequestSent, SendId } from './history.js';
import { NO_VIOLATIONS, type Rule, type Violation } from './rule.js';

interface SentRequest {
  readonly idempotencyKey: string | null;
  readonly repeatable: boolean;
  runs: number;
  toldNotRun: boolean;
}

interface KeyFacts {
  runs: number;
  readonly toldNotRun: SendId[];
}

export class ExecutionRule implements Rule {
  private readonly sent = new Map<SendId, SentRequest>();
  private readonly keys = new Map<string, KeyFacts>();

  take(event: HistoryEvent): readonly Violation[] {
    switch (event.type) {
      case 'request-sent':
        return this.noteSent(event);
      case 'request-ran':
        return this.judgeRun(event);
      case 'refusal-received':
        return this.judgeRefusal(event);
      default:
        return NO_VIOLATIONS;
    }
  }

  finish(): readonly Violation[] {
    return NO_VIOLATIONS;
  }

  private noteSent(event: RequestSent): readonly Violation[] {
    const { idempotencyKey, repeatable } = event;
    this.sent.set(event.send, { idempotencyKey, repeatable, runs: 0, toldNotRun: false });
    if (idempotencyKey !== null && !this.keys.has(idempotencyKey)) {
      this.keys.set(idempotencyKey, { runs: 0, toldNotRun: [] });
    }
    return NO_VIOLATIONS;
  }

  private judgeRun(event: RequestRan): readonly Violation[] {
    const request = this.sent.get(event.send);
    if (request === undefined) {
      return [{ promise: 'own-whole-answer', at: event.at, message: `${event.send} ran but was never sent` }];
    }
    const violations: Violation[] = [];
    request.runs += 1;
    if (request.toldNotRun) {
      const message = `${event.send} ran on ${event.upstream} after its caller was told not-run`;
      violations.push({ promise: 'not-run-is-true', at: event.at, message });
    }
    violations.push(...this.judgeRepetition(event, request));
    return violations;
  }

  private judgeRepetition(event: RequestRan, request: SentRequest): readonly Violation[] {
    if (request.repeatable) {
      return NO_VIOLATIONS;
    }
    const { idempotencyKey } = request;
    const facts = idempotencyKey === null ? undefined : this.keys.get(idempotencyKey);
    if (facts !== undefined) {
      facts.runs += 1;
    }
    const runs = facts?.runs ?? request.runs;
    if (runs <= 1) {
      return NO_VIOLATIONS;
    }
    const message = `${event.send} (idempotency key ${idempotencyKey}) ran for the ${runs}th time, on ${event.upstream}`;
    return [{ promise: 'at-most-once', at: event.at, message }];
  }

  private judgeRefusal(event: RefusalReceived): readonly Violation[] {
    const request = this.sent.get(event.send);
    if (request === undefined || event.outcome !== 'not-run') {
      return NO_VIOLATIONS;
    }
    request.toldNotRun = true;
    if (request.runs === 0) {
      return NO_VIOLATIONS;
    }
    const message = `${event.send} was told not-run (${event.reason}) after it ran`;
    return [{ promise: 'not-run-is-true', at: event.at, message }];
  }
}
