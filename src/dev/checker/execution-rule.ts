/**
 * Execution: a request whose caller received `not-run` runs neither before nor after that, and a request that must not
 * be repeated runs at most once per idempotency key.
 */
import type { HistoryEvent, RefusalReceived, RequestRan, RequestSent, SendId } from './history.js';
import { NO_VIOLATIONS, type Rule, type Violation } from './rule.js';

interface SentRequest {
  readonly at: number;
  readonly content: string;
  readonly idempotencyKey: string | null;
  readonly repeatable: boolean;
  runs: number;
  receivedNotRun: boolean;
}

/** The state of all sendings under one idempotency key. */
interface KeyFacts {
  runs: number;
  /** Content that ran under the key. */
  ranContent: string | null;
  /** Last time at which a caller received `not-run` for the key. */
  notRunAt: number | null;
}

export class ExecutionRule implements Rule {
  private readonly sent = new Map<SendId, SentRequest>();
  private readonly keys = new Map<string, KeyFacts>();

  check(event: HistoryEvent): readonly Violation[] {
    switch (event.type) {
      case 'request-sent':
        return this.recordSent(event);
      case 'request-ran':
        return this.checkRun(event);
      case 'refusal-received':
        return this.checkRefusal(event);
      default:
        return NO_VIOLATIONS;
    }
  }

  finish(): readonly Violation[] {
    return NO_VIOLATIONS;
  }

  private recordSent(event: RequestSent): readonly Violation[] {
    const { at, content, idempotencyKey, repeatable } = event;
    this.sent.set(event.send, { at, content, idempotencyKey, repeatable, runs: 0, receivedNotRun: false });
    if (idempotencyKey !== null && !this.keys.has(idempotencyKey)) {
      this.keys.set(idempotencyKey, { runs: 0, ranContent: null, notRunAt: null });
    }
    return NO_VIOLATIONS;
  }

  private checkRun(event: RequestRan): readonly Violation[] {
    const request = this.sent.get(event.send);
    if (request === undefined) {
      return [{ promise: 'own-whole-answer', at: event.at, message: `${event.send} ran but was never sent` }];
    }
    const violations: Violation[] = [];
    request.runs += 1;
    if (request.receivedNotRun) {
      const message = `${event.send} ran on ${event.upstream} after its caller received not-run`;
      violations.push({ promise: 'not-run-is-true', at: event.at, message });
    }
    violations.push(...this.checkRepetition(event, request), ...this.checkEarlierRefusal(event, request));
    return violations;
  }

  /** After `not-run` a caller may send again, but its earlier sendings must not run any more. */
  private checkEarlierRefusal(event: RequestRan, request: SentRequest): readonly Violation[] {
    const facts = this.factsOf(request);
    if (facts === undefined) {
      return NO_VIOLATIONS;
    }
    facts.ranContent = request.content;
    if (facts.notRunAt === null || request.at >= facts.notRunAt || request.receivedNotRun) {
      return NO_VIOLATIONS;
    }
    const message = `${event.send} ran after its caller received not-run for ${request.idempotencyKey}`;
    return [{ promise: 'not-run-is-true', at: event.at, message }];
  }

  private factsOf({ idempotencyKey }: SentRequest): KeyFacts | undefined {
    return idempotencyKey === null ? undefined : this.keys.get(idempotencyKey);
  }

  private checkRepetition(event: RequestRan, request: SentRequest): readonly Violation[] {
    if (request.repeatable) {
      return NO_VIOLATIONS;
    }
    const { idempotencyKey } = request;
    const facts = this.factsOf(request);
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

  private checkRefusal(event: RefusalReceived): readonly Violation[] {
    const request = this.sent.get(event.send);
    if (request === undefined || event.outcome !== 'not-run') {
      return NO_VIOLATIONS;
    }
    request.receivedNotRun = true;
    const facts = this.factsOf(request);
    if (facts !== undefined) {
      facts.notRunAt = event.at;
    }
    const ranUnderKey = facts?.ranContent === request.content;
    if (request.runs === 0 && !ranUnderKey) {
      return NO_VIOLATIONS;
    }
    const message = `${event.send} received not-run (${event.reason}) after it ran`;
    return [{ promise: 'not-run-is-true', at: event.at, message }];
  }
}
