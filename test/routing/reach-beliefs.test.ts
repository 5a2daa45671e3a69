import { expect } from 'chai';
import { ReachBeliefs } from '../../src/routing/paths/reach-beliefs.js';
import type { UpstreamState } from '../../src/routing/upstream/upstream-state.js';

const LIFETIME_MILLIS = 3000;

function upstream(service: string, zone: string, heardAt = 0): UpstreamState {
  return { service, zone, heardAt } as UpstreamState;
}

describe('ReachBeliefs', () => {
  let beliefs: ReachBeliefs;

  beforeEach(() => {
    beliefs = new ReachBeliefs();
  });

  function loseThree(service: string, zones: readonly string[], at = 100): UpstreamState[] {
    const lost = [0, 1, 2].map((index) => upstream(service, zones[index % zones.length] as string));
    for (const one of lost) {
      beliefs.recordFailure(one, 'lost-path', at);
    }
    return lost;
  }

  it('takes the rest of a service to be lost with three of it', () => {
    loseThree('menus', ['a', 'b']);
    expect(beliefs.isAssumed(upstream('menus', 'c'), 'lost-path', 200)).to.equal(true);
  });

  it('takes the rest of a zone to be lost with three of it, one of them of the same service', () => {
    loseThree('menus', ['a']);
    expect(beliefs.isAssumed(upstream('cards', 'a'), 'lost-path', 200)).to.equal(false);
    beliefs.recordFailure(upstream('cards', 'a'), 'lost-path', 200);
    expect(beliefs.isAssumed(upstream('cards', 'a'), 'lost-path', 300)).to.equal(true);
  });

  it('takes nothing to be lost with two', () => {
    for (const zone of ['a', 'b']) {
      beliefs.recordFailure(upstream('menus', zone), 'lost-path', 100);
    }
    expect(beliefs.isAssumed(upstream('menus', 'a'), 'lost-path', 200)).to.equal(false);
  });

  it('leaves alone what was heard since', () => {
    loseThree('menus', ['a']);
    expect(beliefs.isAssumed(upstream('menus', 'a', 150), 'lost-path', 200)).to.equal(false);
  });

  it('gives up a belief of whatever a reached upstream belongs to', () => {
    loseThree('menus', ['a']);
    beliefs.recordReached(upstream('orders', 'b'));
    expect(beliefs.isAssumed(upstream('cards', 'c'), 'lost-path', 200)).to.equal(false);
    expect(beliefs.isAssumed(upstream('menus', 'c'), 'lost-path', 200)).to.equal(true);
  });

  it('tells paths that are lost from upstreams that are out of reach', () => {
    loseThree('menus', ['a']);
    expect(beliefs.isAssumed(upstream('menus', 'a'), 'out-of-reach', 200)).to.equal(false);
  });

  it('lets a belief lapse', () => {
    loseThree('menus', ['a']);
    expect(beliefs.isAssumed(upstream('menus', 'a'), 'lost-path', 100 + LIFETIME_MILLIS)).to.equal(false);
  });
});
