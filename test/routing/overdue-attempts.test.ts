import { expect } from 'chai';
import type { RouterHarness } from './router-harness.js';
import { RouterHarness as Harness, only, service, upstream } from './router-harness.js';

/** Longer than it takes to find an attempt overdue, shorter than to find the next one. */
const OVERDUE_MILLIS = 350;

function start(changes: Parameters<typeof service>[1] = {}): RouterHarness {
  const record = service('board', {
    deadlineMillis: 5000,
    slotsPerUpstream: 4,
    retryBudget: 0.2,
    ...changes,
  });
  const upstreams = ['u1', 'u2', 'u3'].map((id) => upstream(id, 'board'));
  return new Harness().start([record], upstreams);
}

describe('an attempt that is overdue', () => {
  it('of a read is given up and made elsewhere', () => {
    const harness = start();
    const [first] = only(harness.request('board'), 'dispatch');
    const effects = harness.run(OVERDUE_MILLIS);
    const [second] = only(effects, 'dispatch');
    expect(second?.upstream).to.not.equal(first?.upstream);
    expect(only(effects, 'cancel-attempt')).to.deep.equal([
      { type: 'cancel-attempt', attempt: first?.attempt },
    ]);
    harness.ended(first?.attempt as number, { type: 'cancelled' });
    expect(only(harness.ended(second?.attempt as number), 'deliver')).to.have.length(1);
    expect(harness.core.status().inFlight).to.equal(0);
  });

  it('goes on if the retry budget is spent', () => {
    const harness = start({ retryBudget: 0 });
    const [first] = only(harness.request('board'), 'dispatch');
    expect(only(harness.run(OVERDUE_MILLIS), 'dispatch')).to.deep.equal([]);
    expect(only(harness.ended(first?.attempt as number), 'deliver')).to.have.length(1);
  });

  it('goes on if there is no other upstream that takes work', () => {
    const record = service('board', { deadlineMillis: 5000, slotsPerUpstream: 4, retryBudget: 0.2 });
    const harness = new Harness().start([record], [upstream('u1', 'board')]);
    harness.request('board');
    expect(only(harness.run(OVERDUE_MILLIS), 'cancel-attempt')).to.deep.equal([]);
  });

  it('of an order goes on: it may not be made twice', () => {
    const harness = start({ repeatable: false });
    const claims = only(harness.order('board'), 'send-control');
    const message = claims[0]?.message;
    harness.claimResult(message?.type === 'claim-request' ? message.claimant : '', { type: 'granted' });
    const effects = harness.run(OVERDUE_MILLIS);
    expect([...only(effects, 'cancel-attempt'), ...only(effects, 'dispatch')]).to.deep.equal([]);
  });
});
