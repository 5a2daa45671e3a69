/** Covers what heartbeats prove about the keys that their upstreams hold, one hazard per test. */
import { expect } from 'chai';
import { HeartbeatHolders, type ReportingHeartbeat } from '../../src/control/ranges/heartbeat-holders.js';
import { DEFAULT_RANGE_TIMINGS } from '../../src/lease/range-timings.js';
import { DEPOSED_GRANTER_MILLIS, longestHoldMillis } from '../../src/lease/timed-grants.js';
import type { HeldKeys, HeldSpan } from '../../src/model/held-keys.js';

const ELECTED_AT = 1000;
const LONGEST = longestHoldMillis(DEFAULT_RANGE_TIMINGS);
const SPAN = { from: 100, to: 199 };
const HELD: HeldSpan = { ...SPAN, fence: 7 };

function heartbeat(sequence: number, held: readonly HeldSpan[] = [], handover?: string): HeldKeys {
  const released = handover === undefined ? [] : [{ ...SPAN, handover }];
  return { sequence, held, released };
}

/** A heartbeat of a run of u1; `born` is `null` where only the id identifies the run. */
function heartbeatOf(report: HeldKeys, born: number | null = null): ReportingHeartbeat {
  return { upstream: 'u1', born, report };
}

/** An upstream that held the span in two heartbeats, the second of which was answered with it. */
function holding(): HeartbeatHolders {
  const holders = new HeartbeatHolders(DEFAULT_RANGE_TIMINGS, ELECTED_AT);
  holders.onHeartbeat(heartbeatOf(heartbeat(4, [HELD])), 2000);
  holders.onGranted('u1', 2000);
  holders.onHeartbeat(heartbeatOf(heartbeat(5, [HELD])), 2870);
  holders.onGranted('u1', 2870);
  return holders;
}

describe('proof that the previous owner no longer holds keys', () => {
  const release = { since: 3000, afterSequence: 5 };

  it('is a later heartbeat that does not report them', () => {
    const holders = holding();
    expect(holders.freeProof('u1', SPAN, release, 3001)).to.equal(null);
    holders.onHeartbeat(heartbeatOf(heartbeat(6, [HELD])), 3740);
    expect(holders.freeProof('u1', SPAN, release, 3741)).to.equal(null);
    holders.onHeartbeat(heartbeatOf(heartbeat(7, [], 'warm')), 3840);
    expect(holders.freeProof('u1', SPAN, release, 3841)).to.equal('released');
    expect(holders.handoverOf('u1', { from: 120, to: 130 })).to.equal('warm');
  });

  it('does not exist while a part of them is still held or has running work', () => {
    const holders = holding();
    holders.onHeartbeat(heartbeatOf(heartbeat(6, [{ from: 199, to: 250, fence: 7 }])), 3740);
    expect(holders.freeProof('u1', SPAN, release, 3741)).to.equal(null);
  });

  it('is no heartbeat that omits the held keys, unless it reports them as released', () => {
    const holders = holding();
    const lastKey = { from: SPAN.to, to: SPAN.to };
    const silent = { sequence: 90, held: null, released: [] };
    expect(holders.onHeartbeat(heartbeatOf(silent), 3000)).to.equal(false);
    expect(holders.freeProof('u1', SPAN, release, 3001)).to.equal(null);
    const part = { ...silent, sequence: 6, released: [{ from: 0, to: SPAN.to - 1, handover: null }] };
    expect(holders.onHeartbeat(heartbeatOf(part), 3100)).to.equal(true);
    expect(holders.freeProof('u1', SPAN, release, 3101)).to.equal(null);
    expect(holders.freeProof('u1', { from: SPAN.from, to: SPAN.to - 1 }, release, 3101)).not.to.equal(null);
    const whole = { ...part, sequence: 7, released: [...part.released, { ...lastKey, handover: 'warm' }] };
    expect(holders.onHeartbeat(heartbeatOf(whole), 3200)).to.equal(true);
    expect(holders.freeProof('u1', SPAN, release, 3201)).not.to.equal(null);
  });

  it('is no released row in the first heartbeat that a leader receives, nor in a late one', () => {
    const holders = new HeartbeatHolders(DEFAULT_RANGE_TIMINGS, ELECTED_AT);
    const letGo = { sequence: 8, held: null, released: [{ ...SPAN, handover: null }] };
    const inherited = { since: ELECTED_AT, afterSequence: Number.NEGATIVE_INFINITY };
    holders.onHeartbeat(heartbeatOf(letGo), 1100);
    expect(holders.freeProof('u1', SPAN, inherited, 1101)).to.equal(null);
    const held = holding();
    expect(held.onHeartbeat(heartbeatOf({ ...letGo, sequence: 5 }), 3000)).to.equal(false);
    expect(held.freeProof('u1', SPAN, release, 3001)).to.equal(null);
  });

  it('is a heartbeat of the owner also after one without keys that has a sequence ahead', () => {
    const holders = holding();
    holders.onHeartbeat(heartbeatOf({ sequence: 90, held: null, released: [] }), 3000);
    expect(holders.onHeartbeat(heartbeatOf(heartbeat(6, [HELD])), 3100)).to.equal(true);
    expect(holders.freeProof('u1', SPAN, release, 3101)).to.equal(null);
    expect(holders.onHeartbeat(heartbeatOf(heartbeat(7)), 3200)).to.equal(true);
    expect(holders.freeProof('u1', SPAN, release, 3201)).not.to.equal(null);
  });

  it('is no heartbeat before the latest one answered with keys, although that one did not report keys', () => {
    const holders = new HeartbeatHolders(DEFAULT_RANGE_TIMINGS, ELECTED_AT);
    expect(holders.onHeartbeat(heartbeatOf({ sequence: 3, held: null, released: [] }), 1100)).to.equal(true);
    holders.onGranted('u1', 1100);
    expect(holders.grantedSequence('u1')).to.equal(3);
    for (const sequence of [1, 2]) {
      expect(holders.onHeartbeat(heartbeatOf(heartbeat(sequence)), 1200 + sequence)).to.equal(true);
    }
    expect(holders.freeProof('u1', SPAN, { since: 1300, afterSequence: 3 }, 1301)).to.equal(null);
  });

  it('is the longest hold after keys were reported, and then a heartbeat without keys is accepted', () => {
    const holders = holding();
    const silent = { sequence: 90, held: null, released: [] };
    expect(holders.onHeartbeat(heartbeatOf(silent), 2870 + LONGEST - 1)).to.equal(false);
    expect(holders.onHeartbeat(heartbeatOf(silent), 2870 + LONGEST)).to.equal(true);
  });

  it('is no late and no duplicate heartbeat', () => {
    const holders = holding();
    for (const sequence of [5, 3, 4]) {
      expect(holders.onHeartbeat(heartbeatOf(heartbeat(sequence)), 3500)).to.equal(false);
    }
    expect(holders.freeProof('u1', SPAN, release, 3501)).to.equal(null);
  });

  it('is no heartbeat that was answered with them: the response may still be in transit', () => {
    const holders = holding();
    holders.onHeartbeat(heartbeatOf(heartbeat(6)), 3740);
    expect(holders.freeProof('u1', SPAN, { since: 3750, afterSequence: 6 }, 3751)).to.equal(null);
  });

  it('is not the first heartbeat that a leader receives from an upstream', () => {
    const holders = new HeartbeatHolders(DEFAULT_RANGE_TIMINGS, ELECTED_AT);
    const inherited = { since: ELECTED_AT, afterSequence: Number.NEGATIVE_INFINITY };
    holders.onHeartbeat(heartbeatOf(heartbeat(8)), 1100);
    expect(holders.freeProof('u1', SPAN, inherited, 1101)).to.equal(null);
    holders.onHeartbeat(heartbeatOf(heartbeat(9)), 1970);
    expect(holders.freeProof('u1', SPAN, inherited, 1971)).not.to.equal(null);
  });

  it('is the longest hold since they became unowned', () => {
    const holders = holding();
    expect(holders.freeProof('u1', SPAN, release, 3000 + LONGEST - 1)).to.equal(null);
    expect(holders.freeProof('u1', SPAN, release, 3000 + LONGEST)).to.equal('bound');
  });

  it('is for a new leader the longest hold since the latest possible response of the previous one', () => {
    const holders = new HeartbeatHolders(DEFAULT_RANGE_TIMINGS, ELECTED_AT);
    const inherited = { since: ELECTED_AT, afterSequence: Number.NEGATIVE_INFINITY };
    const end = ELECTED_AT + DEPOSED_GRANTER_MILLIS + LONGEST;
    expect(holders.freeProof('u1', SPAN, inherited, end - 1)).to.equal(null);
    expect(holders.freeProof('u1', SPAN, inherited, end)).not.to.equal(null);
  });

  it('is the first heartbeat of a run that started later, whatever the sequence of the previous run', () => {
    const holders = new HeartbeatHolders(DEFAULT_RANGE_TIMINGS, ELECTED_AT);
    holders.onHeartbeat(heartbeatOf(heartbeat(40, [HELD]), 100), 2000);
    holders.onGranted('u1', 2000);
    expect(holders.freeProof('u1', SPAN, { since: 2500, afterSequence: 40 }, 2600)).to.equal(null);
    expect(holders.onHeartbeat(heartbeatOf(heartbeat(1), 200), 2700)).to.equal(true);
    expect(holders.freeProof('u1', SPAN, { since: 2500, afterSequence: 40 }, 2701)).to.equal('next-run');
    expect(holders.latestReport('u1')?.sequence).to.equal(1);
    expect(holders.lossProof('u1', 2701)).to.equal(null);
  });

  it('is no late heartbeat of a run before the latest one', () => {
    const holders = new HeartbeatHolders(DEFAULT_RANGE_TIMINGS, ELECTED_AT);
    holders.onHeartbeat(heartbeatOf(heartbeat(1), 200), 2000);
    holders.onHeartbeat(heartbeatOf(heartbeat(2, [HELD]), 200), 2870);
    holders.onGranted('u1', 2870);
    expect(holders.onHeartbeat(heartbeatOf(heartbeat(90), 100), 2900)).to.equal(false);
    expect(holders.freeProof('u1', SPAN, { since: 2880, afterSequence: 2 }, 2901)).to.equal(null);
  });

  it('is no later run while grants by call may still be accepted', () => {
    const callGrantsUntil = 50_000;
    const holders = new HeartbeatHolders(DEFAULT_RANGE_TIMINGS, ELECTED_AT, callGrantsUntil);
    holders.onHeartbeat(heartbeatOf(heartbeat(4), 100), 2000);
    holders.onHeartbeat(heartbeatOf(heartbeat(1), 200), 2870);
    const inherited = { since: 2500, afterSequence: 4 };
    expect(holders.freeProof('u1', SPAN, inherited, callGrantsUntil - 1)).to.equal(null);
    expect(holders.freeProof('u1', SPAN, inherited, callGrantsUntil)).not.to.equal(null);
  });

  it('is no heartbeat while grants by call may still be accepted', () => {
    const callGrantsUntil = 50_000;
    const holders = new HeartbeatHolders(DEFAULT_RANGE_TIMINGS, ELECTED_AT, callGrantsUntil);
    holders.onHeartbeat(heartbeatOf(heartbeat(1)), 2000);
    holders.onHeartbeat(heartbeatOf(heartbeat(2)), 2870);
    const inherited = { since: 2500, afterSequence: 1 };
    expect(holders.freeProof('u1', SPAN, inherited, callGrantsUntil - 1)).to.equal(null);
    expect(holders.freeProof('u1', SPAN, inherited, callGrantsUntil)).not.to.equal(null);
  });
});

describe('an owner granted by heartbeat', () => {
  it('is lost once it can hold nothing of its last response, whether or not it reported an expired hold', () => {
    const holders = holding();
    expect(holders.lossProof('u1', 2870 + LONGEST - 1)).to.equal(null);
    expect(holders.lossProof('u1', 2870 + LONGEST)).not.to.equal(null);
  });

  it('without a heartbeat to a new leader is lost no sooner than the last possible response of the previous leader expires', () => {
    const holders = new HeartbeatHolders(DEFAULT_RANGE_TIMINGS, ELECTED_AT);
    const end = ELECTED_AT + DEPOSED_GRANTER_MILLIS + LONGEST;
    expect(holders.lossProof('u9', end - 1)).to.equal(null);
    expect(holders.lossProof('u9', end)).not.to.equal(null);
  });
});
