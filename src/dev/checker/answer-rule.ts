/** Answers: each caller receives the whole answer to its own request exactly once, and always receives one. */
import type {
  AnswerReceived,
  HistoryEvent,
  PlannedStopCut,
  RequestCut,
  RequestSent,
  SendId,
} from './history.js';
import { NO_VIOLATIONS, type Rule, type Violation } from './rule.js';

export class AnswerRule implements Rule {
  private readonly sent = new Map<SendId, RequestSent>();
  private readonly ended = new Set<SendId>();

  check(event: HistoryEvent): readonly Violation[] {
    switch (event.type) {
      case 'request-sent':
        this.sent.set(event.send, event);
        return NO_VIOLATIONS;
      case 'answer-received':
        return [...this.checkAnswer(event), ...this.end(event.send, event.at)];
      case 'refusal-received':
        return this.end(event.send, event.at);
      case 'request-cut':
        return [...checkCut(event), ...this.end(event.send, event.at)];
      case 'planned-stop-cut':
        return checkPlannedStop(event);
      default:
        return NO_VIOLATIONS;
    }
  }

  finish(at: number): readonly Violation[] {
    const violations: Violation[] = [];
    for (const request of this.sent.values()) {
      if (!this.ended.has(request.send) && request.answerDueAt < at) {
        const message = `${request.send} (${request.content}) was never answered`;
        violations.push({ promise: 'own-whole-answer', at, message });
      }
    }
    return violations;
  }

  private end(send: SendId, at: number): readonly Violation[] {
    if (!this.ended.has(send)) {
      this.ended.add(send);
      return NO_VIOLATIONS;
    }
    return [{ promise: 'own-whole-answer', at, message: `${send} was answered twice` }];
  }

  private checkAnswer(event: AnswerReceived): readonly Violation[] {
    const request = this.sent.get(event.send);
    const wrong = (message: string): readonly Violation[] => [
      { promise: 'own-whole-answer', at: event.at, message: `${event.send} ${message}` },
    ];
    if (request === undefined) {
      return wrong('was answered but never sent');
    }
    if (!event.whole) {
      return wrong('got a partial answer as a whole one');
    }
    if (event.content !== request.content) {
      return wrong(`requested ${request.content} and got ${event.content}`);
    }
    if (event.ranFor !== request.send && !this.mayShare(request, event.ranFor)) {
      return wrong(`got the answer to ${event.ranFor}`);
    }
    return NO_VIOLATIONS;
  }

  private mayShare(request: RequestSent, ranFor: SendId): boolean {
    const other = this.sent.get(ranFor);
    if (other === undefined) {
      return false;
    }
    const sameIdempotencyKey =
      request.idempotencyKey !== null && request.idempotencyKey === other.idempotencyKey;
    return sameIdempotencyKey || (request.mayShareAnswer && request.content === other.content);
  }
}

function checkCut(event: RequestCut): readonly Violation[] {
  if (event.excused) {
    return NO_VIOLATIONS;
  }
  const message = `${event.send} was cut off by the planned stop of ${event.by}`;
  return [{ promise: 'planned-stop-cuts-nothing', at: event.at, message }];
}

function checkPlannedStop(event: PlannedStopCut): readonly Violation[] {
  const message = `the planned stop of ${event.process} cut off ${event.send}`;
  return [{ promise: 'planned-stop-cuts-nothing', at: event.at, message }];
}
