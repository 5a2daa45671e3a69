/** Compares the timer heap with a list that is sorted on each step. */
import { expect } from 'chai';
import fc from 'fast-check';
import { type Timer, TimerHeap } from '../../src/routing/timer-heap.js';

type Step =
  | { readonly type: 'schedule'; readonly at: number }
  | { readonly type: 'cancel'; readonly index: number }
  | { readonly type: 'take'; readonly now: number };

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ type: fc.constant('schedule' as const), at: fc.integer({ min: 0, max: 20 }) }),
  fc.record({ type: fc.constant('cancel' as const), index: fc.nat(40) }),
  fc.record({ type: fc.constant('take' as const), now: fc.integer({ min: 0, max: 20 }) }),
);

/** Pending timers in the order in which the heap must return them. */
function inOrder(pending: ReadonlySet<Timer<number>>): Timer<number>[] {
  return [...pending].sort((one, other) => one.at - other.at || one.sequence - other.sequence);
}

describe('timer heap', () => {
  it('returns timers in order of time and then of insertion, and no cancelled ones', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 120 }), (steps) => {
        const heap = new TimerHeap<number>();
        const all: Timer<number>[] = [];
        const pending = new Set<Timer<number>>();
        for (const action of steps) {
          if (action.type === 'schedule') {
            const timer = heap.schedule(action.at, all.length);
            all.push(timer);
            pending.add(timer);
          } else if (action.type === 'cancel') {
            const timer = all[action.index];
            if (timer !== undefined) {
              heap.cancel(timer);
              pending.delete(timer);
            }
          } else {
            const expected = inOrder(pending)[0];
            const due = expected !== undefined && expected.at <= action.now ? expected : undefined;
            expect(heap.takeDue(action.now)).to.equal(due);
            if (due !== undefined) {
              pending.delete(due);
            }
          }
          expect(heap.size).to.equal(pending.size);
          expect(heap.nextAt()).to.equal(inOrder(pending)[0]?.at ?? Number.POSITIVE_INFINITY);
        }
      }),
    );
  });

  it('removes a cancelled timer at once', () => {
    const heap = new TimerHeap<string>();
    const timers = Array.from({ length: 100 }, (_, at) => heap.schedule(at, 'request'));
    for (const timer of timers) {
      heap.cancel(timer);
      heap.cancel(timer);
    }
    expect(heap.size).to.equal(0);
  });
});
