import { expect } from 'chai';
import { effectsOfType, RouterHarness, service, upstream } from './router-harness.js';

const ATTEMPTS = 6;

/** Lets requests exceed their deadline on a fast upstream, and returns how often it was ejected for that. */
function ejectionsBy(deadlineMillis: number | null, serviceDeadlineMillis: number): number {
  const record = service('board', { deadlineMillis: serviceDeadlineMillis, retryBudget: 0 });
  const harness = new RouterHarness().start([record], [upstream('u1', 'board'), upstream('u2', 'board')]);
  for (let quick = 0; quick < 60; quick++) {
    const [dispatch] = effectsOfType(harness.request('board'), 'dispatch');
    harness.now += 0.1;
    harness.ended(dispatch?.attempt as number);
  }
  for (let slow = 0; slow < ATTEMPTS; slow++) {
    harness.request('board', { deadlineMillis });
    for (const { attempt } of effectsOfType(
      harness.run((deadlineMillis ?? serviceDeadlineMillis) + 1),
      'cancel-attempt',
    )) {
      harness.ended(attempt, { type: 'cancelled' });
    }
  }
  return effectsOfType(harness.effects, 'log').filter(({ event }) => event === 'upstream-ejected').length;
}

describe('exceeded deadlines', () => {
  it("count against an upstream if they are the service's own", () => {
    expect(ejectionsBy(null, 1000)).to.be.greaterThan(0);
    expect(ejectionsBy(null, 100)).to.be.greaterThan(0);
  });

  it('do not count against an upstream if a caller set a very short deadline', () => {
    expect(ejectionsBy(3, 1000)).to.equal(0);
    expect(ejectionsBy(3, 100)).to.equal(0);
  });
});
