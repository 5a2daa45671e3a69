import { expect } from 'chai';
import { only, RouterHarness, service, upstream } from './router-harness.js';

describe('claims that nobody answers', () => {
  it('end at their timeout, whatever the clock reads', () => {
    const record = service('orders', { repeatable: false });
    for (let part = 1; part <= 20; part += 1) {
      const harness = new RouterHarness();
      // (now + 1000) - now is below 1000 for some of these.
      harness.now = 1000 + part / 7;
      harness.start([record], [upstream('u1', 'orders')]);
      harness.order('orders');
      const refused = only(harness.run(1500), 'refuse');
      expect(refused.map(({ reason }) => reason)).to.deep.equal(['ledger-unavailable']);
    }
  });
});
