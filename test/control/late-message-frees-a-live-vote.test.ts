/** A late message of a replica that has ended, after its successor was heard at the same address. */
import { expect } from 'chai';
import type { RaftStatus } from '../../src/consensus/types.js';
import { AutomaticRepair } from '../../src/control/automatic-repair.js';

const REPLACE_AFTER_MILLIS = 2000;
const NOW = 100_000;
const HEARTBEAT_MILLIS = 100;

/** `m4` was a spare at a:2 and lost its disk; `m2` came after it there, joined and votes. `m5` is a spare elsewhere. */
function statusOf(learners: readonly string[]): RaftStatus {
  const addresses = { m1: 'a:1', m2: 'a:2', m3: 'a:3', m4: 'a:2', m5: 'a:5' };
  return {
    self: 'm1',
    role: 'leader',
    term: 1,
    leader: 'm1',
    commitIndex: 5,
    lastIndex: 5,
    firstIndex: 1,
    matchIndexes: {},
    membership: { voters: ['m1', 'm2', 'm3'], outgoingVoters: [], learners, addresses },
  };
}

describe('a late message of a replica that has ended', () => {
  for (const learners of [['m4'], ['m4', 'm5'], ['m5', 'm4']]) {
    it(`leaves the vote with its live successor, beside the learners ${learners}`, () => {
      const repair = new AutomaticRepair(REPLACE_AFTER_MILLIS);
      repair.onRoleChange(true, 0);
      const status = statusOf(learners);
      repair.onMessage('m4', NOW - 1500);
      for (let at = NOW - 1400; at < NOW; at += HEARTBEAT_MILLIS) {
        for (const replica of ['m2', 'm3', 'm5']) {
          repair.onMessage(replica, at);
        }
        expect(repair.next(status, ['m2', 'm3', ...learners], at)?.type ?? null).to.equal(null);
      }
      repair.onMessage('m4', NOW);
      const repairNow = repair.next(status, ['m2', 'm3', ...learners], NOW);
      expect(repairNow, JSON.stringify(repairNow)).to.equal(null);
    });
  }

  it('gives its sender no vote of a silent voter', () => {
    const repair = new AutomaticRepair(REPLACE_AFTER_MILLIS);
    repair.onRoleChange(true, 0);
    repair.onMessage('m3', NOW - REPLACE_AFTER_MILLIS);
    repair.onMessage('m4', NOW - REPLACE_AFTER_MILLIS);
    repair.onMessage('m2', NOW - HEARTBEAT_MILLIS);
    repair.onMessage('m4', NOW);
    const repairNow = repair.next(statusOf(['m4']), ['m2', 'm4'], NOW);
    expect(repairNow, JSON.stringify(repairNow)).to.equal(null);
  });
});
