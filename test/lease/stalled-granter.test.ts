import { expect } from 'chai';
import { leaseBound } from '../../src/lease/lease-bound.js';
import { LeaseGranter } from '../../src/lease/lease-granter.js';
import { DEFAULT_LEASE_TIMINGS } from '../../src/lease/types.js';

const STEP_MILLIS = 20;
const { renewMillis } = DEFAULT_LEASE_TIMINGS;
const END = leaseBound(DEFAULT_LEASE_TIMINGS, 0);

describe('granter that was stalled', () => {
  let granter: LeaseGranter;

  /** Runs steps of a leader whose upstream refuses connections. */
  function runSilent(from: number, to: number): void {
    for (let now = from; now < to; now += STEP_MILLIS) {
      for (const { upstream, request } of granter.takeCalls(now)) {
        granter.handleFailure(upstream, request.sequence, now);
      }
    }
  }

  function isEndedAt(now: number): boolean {
    granter.takeCalls(now);
    return granter.changes(now).some(({ type }) => type === 'end');
  }

  beforeEach(() => {
    granter = new LeaseGranter({
      cluster: 'c1',
      leader: 'm1',
      term: 2,
      electedAt: 0,
      timings: DEFAULT_LEASE_TIMINGS,
      seed: 1,
    });
    const keyMap = { service: 'items', generation: 1, keyspaces: [] };
    const target = { upstream: 'u1', address: '127.0.0.1:1', incarnation: 'u1#1', keyMap, drain: false };
    granter.setTarget(target, 0);
  });

  it('calls an upstream that was not silent before the stall once more', () => {
    granter.takeCalls(0);
    const resumedAt = END + 100;
    expect(isEndedAt(resumedAt)).to.equal(false);
    expect(isEndedAt(resumedAt + renewMillis / 2)).to.equal(false);
    expect(isEndedAt(resumedAt + renewMillis + 1)).to.equal(true);
  });

  it('ends the lease of an upstream that was silent long before the stall', () => {
    runSilent(0, END - 100);
    expect(isEndedAt(END + renewMillis)).to.equal(true);
  });

  it('ends no lease before its bound, even if the upstream is silent', () => {
    runSilent(0, END - 500);
    expect(isEndedAt(END)).to.equal(false);
  });
});
