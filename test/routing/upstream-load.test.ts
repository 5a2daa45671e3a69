import { expect } from 'chai';
import { UpstreamState } from '../../src/routing/index.js';
import { upstream } from './router-harness.js';

function makeState(): UpstreamState {
  return new UpstreamState(upstream('u1', 'board'), 2, Number.NEGATIVE_INFINITY);
}

describe('load that an upstream reports', () => {
  it('counts at once if it is the first report for a long time', () => {
    const state = makeState();
    state.recordLoad(8, 1000);
    expect(state.load(1000)).to.equal(8);
    state.recordLoad(2, 60_000);
    expect(state.load(60_000)).to.be.closeTo(2, 0.01);
  });

  it('is averaged over reports in quick succession', () => {
    const state = makeState();
    for (let now = 0; now < 1000; now += 10) {
      state.recordLoad(now % 20 === 0 ? 0 : 8, now);
    }
    expect(state.load(1000)).to.be.within(3, 5);
  });

  it('is capped at the maximum load of an upstream', () => {
    const state = makeState();
    state.recordLoad(10_000, 1000);
    expect(state.load(1000)).to.equal(8);
    state.recordLoad(0, 2000);
    expect(state.load(2000)).to.be.below(1);
  });

  it('decays over time', () => {
    const state = makeState();
    state.recordLoad(8, 1000);
    expect(state.load(6000)).to.be.below(0.1);
  });
});
