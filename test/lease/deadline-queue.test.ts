import { expect } from 'chai';
import fc from 'fast-check';
import { DeadlineQueue } from '../../src/lease/deadline-queue.js';

const key = fc.nat(9);
const actions = fc.array(
  fc.oneof(
    fc.record({ type: fc.constant('set' as const), key, at: fc.oneof(fc.nat(50), fc.constant(Infinity)) }),
    fc.record({ type: fc.constant('delete' as const), key }),
    fc.record({ type: fc.constant('take' as const), now: fc.nat(50) }),
  ),
  { maxLength: 400 },
);

describe('deadline queue', () => {
  it('is equivalent to a map of deadlines', () => {
    fc.assert(
      fc.property(actions, (history) => {
        const queue = new DeadlineQueue<number>();
        const model = new Map<number, number>();
        for (const action of history) {
          if (action.type === 'set') {
            queue.set(action.key, action.at);
            model.set(action.key, action.at);
          } else if (action.type === 'delete') {
            queue.delete(action.key);
            model.delete(action.key);
          } else {
            const due = [...model].filter(([, at]) => at <= action.now).map(([due]) => due);
            expect(queue.takeDue(action.now)).to.have.members(due);
            for (const taken of due) {
              model.delete(taken);
            }
          }
          expect(queue.next()).to.equal(Math.min(Infinity, ...model.values()));
        }
      }),
    );
  });

  it('returns the earliest key first', () => {
    const queue = new DeadlineQueue<string>();
    queue.set('late', 3);
    queue.set('early', 1);
    queue.set('middle', 2);
    expect(queue.takeDue(3)).to.deep.equal(['early', 'middle', 'late']);
  });
});
