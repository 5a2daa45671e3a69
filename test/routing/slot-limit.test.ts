import { expect } from 'chai';
import { effectsOfType, RouterHarness, service, upstream } from './router-harness.js';

const SLOTS = 4;

/** Starts a burst of requests and returns the attempts started at once, which are the slots that the router allows itself. */
function burst(harness: RouterHarness): number[] {
  const effects = Array.from({ length: 2 * SLOTS }, () => harness.request('board')).flat();
  return effectsOfType(effects, 'dispatch').map(({ attempt }) => attempt);
}

/** Answers everything in flight until nothing waits, with the outstanding work that the upstream reports. */
function answerAll(harness: RouterHarness, attempts: readonly number[], load: number): void {
  const open = [...attempts];
  for (let attempt = open.shift(); attempt !== undefined; attempt = open.shift()) {
    harness.run(10);
    const effects = harness.ended(attempt, { type: 'answered', status: 200, load, stored: null });
    open.push(...effectsOfType(effects, 'dispatch').map((dispatch) => dispatch.attempt));
  }
}

describe('slots that a router allows itself on an upstream', () => {
  it('fall when the upstream reports too much work, and grow back once it does not', () => {
    const record = service('board', { slotsPerUpstream: SLOTS, queueLimit: 100, deadlineMillis: 60_000 });
    const harness = new RouterHarness().start([record], [upstream('u1', 'board')]);
    const first = burst(harness);
    expect(first).to.have.length(SLOTS);
    answerAll(harness, first, 10 * SLOTS);
    const second = burst(harness);
    expect(second).to.have.length(1);
    for (let attempts = second, round = 0; round < 60; round += 1) {
      answerAll(harness, attempts, 1);
      attempts = burst(harness);
    }
    expect(harness.core.status().inFlight).to.equal(SLOTS);
  });
});
