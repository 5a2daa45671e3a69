import { expect } from 'chai';
import { StandingEvidence } from '../../src/routing/upstream/standing.js';
import { ANSWERED, effectsOfType, RouterHarness, service, upstream } from './router-harness.js';

function start(): RouterHarness {
  const record = service('board', { slotsPerUpstream: 50, queueLimit: 100, deadlineMillis: 10_000 });
  return new RouterHarness().start([record], [upstream('u1', 'board'), upstream('u2', 'board')]);
}

function failConnection(harness: RouterHarness): string {
  const [dispatch] = effectsOfType(harness.request('board'), 'dispatch');
  harness.ended(dispatch?.attempt as number, { type: 'connect-failed' });
  return dispatch?.upstream as string;
}

function upstreamsPicked(harness: RouterHarness, count: number): Set<string> {
  const picked = new Set<string>();
  for (let request = 0; request < count; request += 1) {
    for (const { upstream: id } of effectsOfType(harness.request('board'), 'dispatch')) {
      picked.add(id);
    }
  }
  return picked;
}

describe('an upstream with a failed connection', () => {
  it('gets no requests for a while if another upstream is usable', () => {
    const harness = start();
    const failed = failConnection(harness);
    const others = ['u1', 'u2'].filter((id) => id !== failed);
    expect([...upstreamsPicked(harness, 20)]).to.deep.equal(others);
    harness.run(1500);
    expect([...upstreamsPicked(harness, 40)]).to.include(failed);
  });

  it('is tried less and less often while connections fail', () => {
    const harness = start();
    const first = failConnection(harness);
    const failAgain = (): void => {
      for (let tries = 0; tries < 40; tries += 1) {
        const [dispatch] = effectsOfType(harness.request('board'), 'dispatch');
        if (dispatch?.upstream === first) {
          harness.ended(dispatch.attempt, { type: 'connect-failed' });
          return;
        }
        harness.ended(dispatch?.attempt as number, ANSWERED);
      }
    };
    harness.run(1500);
    failAgain();
    harness.run(1500);
    expect([...upstreamsPicked(harness, 20)]).to.not.include(first);
    harness.run(1000);
    expect([...upstreamsPicked(harness, 40)]).to.include(first);
  });

  it('is treated as new once another run is there', () => {
    const evidence = new StandingEvidence();
    for (const now of [0, 1000, 3000]) {
      evidence.recordConnectionFailure(now);
    }
    expect(evidence.standing(6000)).to.equal('suspect');
    evidence.reset();
    evidence.recordConnectionFailure(10_000);
    expect(evidence.standing(10_900)).to.equal('suspect');
    expect(evidence.standing(11_100)).to.equal('usable');
  });

  it('is not avoided as unreachable if it only had too many connections', () => {
    const record = service('board', { slotsPerUpstream: 50 });
    const harness = new RouterHarness().start([record], [upstream('u1', 'board'), upstream('u2', 'board')]);
    const [dispatch] = effectsOfType(harness.request('board'), 'dispatch');
    harness.ended(dispatch?.attempt as number, { type: 'connect-failed', closedOnAccept: true });
    harness.run(100);
    expect([...upstreamsPicked(harness, 40)]).to.have.members(['u1', 'u2']);
  });

  it('is tried anyway if there is no other', () => {
    const record = service('board', { slotsPerUpstream: 50 });
    const harness = new RouterHarness().start([record], [upstream('u1', 'board')]);
    failConnection(harness);
    expect([...upstreamsPicked(harness, 3)]).to.deep.equal(['u1']);
  });
});
