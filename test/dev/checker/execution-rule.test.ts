import { expect } from 'chai';
import { Checker } from '../../../src/dev/checker/checker.js';
import type { HistoryEvent, SendId } from '../../../src/dev/checker/history.js';
import type { PromiseName } from '../../../src/dev/checker/rule.js';

const KEY = 'order-1';

function sent(send: SendId, at: number): HistoryEvent {
  return {
    type: 'request-sent',
    at,
    send,
    service: 'pantryorder',
    content: KEY,
    idempotencyKey: KEY,
    repeatable: false,
    mayShareAnswer: false,
    answerDueAt: at + 1000,
  };
}

function ran(send: SendId, at: number): HistoryEvent {
  return { type: 'request-ran', at, send, upstream: 'u1', incarnation: 'u1/1', key: null, epoch: null };
}

function refused(send: SendId, at: number, outcome: 'not-run' | 'unknown'): HistoryEvent {
  return { type: 'refusal-received', at, send, outcome, reason: 'no-upstream' };
}

const CASES: readonly {
  readonly name: string;
  readonly events: readonly HistoryEvent[];
  readonly broken: readonly PromiseName[];
}[] = [
  {
    name: 'accepts an order that runs once and whose outcome is then unknown',
    events: [sent('a', 1), ran('a', 2), refused('a', 3, 'unknown')],
    broken: [],
  },
  {
    name: 'accepts an order that runs after an earlier sending was refused',
    events: [sent('a', 1), refused('a', 2, 'not-run'), sent('b', 3), ran('b', 4)],
    broken: [],
  },
  {
    name: 'detects not-run after the run',
    events: [sent('a', 1), ran('a', 2), refused('a', 3, 'not-run')],
    broken: ['not-run-is-true'],
  },
  {
    name: 'detects a run after not-run',
    events: [sent('a', 1), refused('a', 2, 'not-run'), ran('a', 3)],
    broken: ['not-run-is-true'],
  },
  {
    name: 'detects not-run for a resend although the first sending ran',
    events: [sent('a', 1), ran('a', 2), sent('b', 3), refused('b', 4, 'not-run')],
    broken: ['not-run-is-true'],
  },
  {
    name: 'detects a run of the first sending after not-run for a resend',
    events: [sent('a', 1), sent('b', 2), refused('b', 3, 'not-run'), ran('a', 4)],
    broken: ['not-run-is-true'],
  },
  {
    name: 'detects an order that runs twice',
    events: [sent('a', 1), ran('a', 2), sent('b', 3), ran('b', 4)],
    broken: ['at-most-once'],
  },
];

describe('ExecutionRule', () => {
  for (const { name, events, broken } of CASES) {
    it(name, () => {
      const checker = new Checker();
      for (const event of events) {
        checker.check(event);
      }
      expect(checker.violations.map(({ promise }) => promise)).to.deep.equal(broken);
    });
  }
});
