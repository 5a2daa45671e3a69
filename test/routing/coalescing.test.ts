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

  it('promises what is true to a read that the policy refuses to join: the attempt was made for another', () => {
    const policy = [{ name: 'shed', when: 'load > 0.0', action: 'refuse' as const }];
    const record = service('board', { coalesce: true, slotsPerUpstream: 1, policy });
    const harness = new RouterHarness().start([record], [upstream('u1', 'board')]);
    harness.request('board');
    const [refused] = effectsOfType(harness.request('board'), 'refuse');
    expect(refused).to.include({ reason: 'policy-refused', status: 429, outcome: 'not-run' });
  });
});
