import { expect } from 'chai';
import { phasesOf } from '../../../src/dev/fleet/report/loss-phases.js';

const LOST_AT = Date.parse('2026-01-01T00:00:00.000Z');
const loss = {
  upstream: 'up-1',
  keys: 2,
  probedKeys: 2,
  shards: 3,
  lostAt: 0,
  wall: LOST_AT,
  millis: [2000, 2100],
  unserved: 0,
};

function at(millis: number, fields: object) {
  return { time: new Date(LOST_AT + millis).toISOString(), event: 'shards-changed', ...fields };
}

function sessionEnd(millis: number, upstream: string) {
  return at(millis, { event: 'upstream-changed', upstream, incarnation: null });
}

describe('phasesOf', () => {
  it('returns the end of the lease and the last grant', () => {
    const logs = [
      sessionEnd(-5000, 'up-1'),
      at(100, { owned: 5 }),
      sessionEnd(900, 'up-2'),
      sessionEnd(1500, 'up-1'),
      at(1520, { owned: 2, unowned: 0 }),
      at(1540, { owned: 1, unowned: 0 }),
      at(3000, { owned: 9, unowned: 0 }),
    ];
    expect(phasesOf(loss, logs)).to.deep.equal({ leaseEndedMillis: 1500, grantedMillis: 1540 });
  });

  it('returns null for phases that the logs do not show', () => {
    expect(phasesOf(loss, [])).to.deep.equal({ leaseEndedMillis: null, grantedMillis: null });
    const onlyEnd = phasesOf(loss, [sessionEnd(1500, 'up-1')]);
    expect(onlyEnd).to.deep.equal({ leaseEndedMillis: 1500, grantedMillis: null });
  });
});
