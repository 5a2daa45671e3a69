import { expect } from 'chai';
import { UpstreamState } from '../../src/routing/index.js';
import { upstream } from './router-harness.js';

describe('slow start', () => {
  it('begins when an upstream answers again after a failed connection', () => {
    const state = new UpstreamState(upstream('u1', 'board'), 2, Number.NEGATIVE_INFINITY);
    state.recordSuccess(1000);
    const warm = state.cost(1000);
    state.recordConnectionFailure(2000);
    state.recordSuccess(3000);
    expect(state.cost(3000)).to.be.above(warm * 5);
    expect(state.cost(20_000)).to.equal(warm);
  });

  it('does not begin again with each success after a failed connection', () => {
    const state = new UpstreamState(upstream('u1', 'board'), 2, Number.NEGATIVE_INFINITY);
    state.recordConnectionFailure(1000);
    state.recordSuccess(2000);
    state.recordSuccess(11_000);
    expect(state.cost(12_001)).to.equal(state.cost(30_000));
  });
});
