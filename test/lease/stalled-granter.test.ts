import { expect } from 'chai';
import { leaseBound } from '../../src/lease/lease-bound.js';
import { LeaseGranter } from '../../src/lease/lease-granter.js';
import { DEFAULT_LEASE_TIMINGS } from '../../src/lease/types.js';

const STEP_MILLIS = 20;
const { renewMillis } = DEFAULT_LEASE_TIMINGS;
const END = leaseBound(DEFAULT_LEASE_TIMINGS, 0);

describe('granter that was stopped for a while', () => {
  let granter: LeaseGranter;

  /** Steps like a leader whose upstream refuses connections. */
  function runSilent(from: number, to: number): void {
    for (let now = from; now < to; now += STEP_MILLIS) {
      for (const { upstream, request } of granter.takeCalls(now)) {
        granter.failed(upstream, request.sequence, now);
      }
    }
  }

  function endedAt(now: number): boolean {
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

  it('asks an upstream that it had no reason to call silent once more', () => {
    granter.takeCalls(0);
    const awake = END + 100;
    expect(endedAt(awake)).to.equal(false);
    expect(endedAt(awake + renewMillis / 2)).to.equal(false);
    expect(endedAt(awake + renewMillis + 1)).to.equal(true);
  });

  it('gives up an upstream that was silent for long before', () => {
    runSilent(0, END - 100);
    expect(endedAt(END + renewMillis)).to.equal(true);
  });

  it('ends no lease before its bound, however silent the upstream', () => {
    runSilent(0, END - 500);
    expect(endedAt(END)).to.equal(false);
  });
});
