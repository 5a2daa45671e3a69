import { expect } from 'chai';
import { effectsOfType, RouterHarness, service, upstream } from './router-harness.js';

describe('coalescing of identical reads', () => {
  it('does not add requests to an overdue attempt', () => {
    const record = service('board', { coalesce: true, slotsPerUpstream: 1 });
    const harness = new RouterHarness().start([record], [upstream('u1', 'board')]);
    harness.request('board');
    harness.run(50);
    harness.request('board');
    expect(harness.core.status().queued).to.equal(0);
    harness.run(1000);
    harness.request('board');
    expect(harness.core.status().queued).to.equal(1);
    harness.request('board');
    expect(harness.core.status().queued).to.equal(1);
    const refused = effectsOfType(harness.run(4500), 'refuse').map(({ request, outcome }) => [
      request,
      outcome,
    ]);
    expect(refused).to.deep.include([1, 'unknown']);
    expect(refused).to.deep.include([3, 'not-run']);
    expect(refused).to.deep.include([4, 'not-run']);
  });
});
