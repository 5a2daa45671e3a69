import { expect } from 'chai';
import { effectsOfType, RouterHarness, service, upstream } from './router-harness.js';

describe('claims without an answer', () => {
  it('end at their timeout, regardless of rounding in clock differences', () => {
    const record = service('orders', { repeatable: false });
    for (let part = 1; part <= 20; part += 1) {
      const harness = new RouterHarness();
      // (now + 1000) - now is less than 1000 for some of these values, due to rounding.
      harness.now = 1000 + part / 7;
      harness.start([record], [upstream('u1', 'orders')]);
      harness.order('orders');
      const refused = effectsOfType(harness.run(1500), 'refuse');
      expect(refused.map(({ reason }) => reason)).to.deep.equal(['ledger-unavailable']);
    }
  });
});
