/** Which repair the leader chooses, from what it has heard of whom at which address. */
import { expect } from 'chai';
import type { Membership, RaftStatus } from '../../src/consensus/types.js';
import { AutomaticRepair } from '../../src/control/automatic-repair.js';
import type { Address, ReplicaId } from '../../src/model/identifiers.js';

const REPLACE_AFTER_MILLIS = 2000;
const NOW = 100_000;
const SELF = 'm1';

function statusOf(membership: Partial<Membership>): RaftStatus {
  const addresses = { m1: 'a:1', m2: 'a:2', m3: 'a:3', ...membership.addresses };
  return {
    self: SELF,
    role: 'leader',
    term: 1,
    leader: SELF,
    commitIndex: 5,
    lastIndex: 5,
    firstIndex: 1,
    matchIndexes: {},
    membership: { voters: ['m1', 'm2', 'm3'], outgoingVoters: [], learners: [], ...membership, addresses },
  };
}

/** A leader since the start that heard each replica last so many milliseconds ago. */
function repairOf(heardAgo: Readonly<Record<ReplicaId, number>>, leadingMillis = NOW): AutomaticRepair {
  const repair = new AutomaticRepair(REPLACE_AFTER_MILLIS);
  repair.onRoleChange(true, NOW - leadingMillis);
  for (const [replica, agoMillis] of Object.entries(heardAgo)) {
    repair.onMessage(replica, NOW - agoMillis);
  }
  return repair;
}

function learners(addresses: Readonly<Record<ReplicaId, Address>>): Partial<Membership> {
  return { learners: Object.keys(addresses), addresses };
}

describe('the choice of a repair', () => {
  // Guards against a vote for a replica whose disk is lost already, which in calm counts as caught up until it is silent for long.
  it('is never a replica at whose address another one has been heard since', () => {
    const repair = repairOf({ m2: 3000, m3: 10, m4: 500, m5: 10 });
    const status = statusOf(learners({ m4: 'a:2', m5: 'a:2' }));
    expect(repair.next(status, ['m3', 'm4', 'm5'], NOW)).to.include({
      oldReplica: 'm2',
      newReplica: 'm5',
      reason: 'disk-lost',
    });
  });

  it('keeps a live voter at whose address a learner ran before', () => {
    const repair = repairOf({ m2: 10, m3: 10, m4: 500 });
    expect(repair.next(statusOf(learners({ m4: 'a:2' })), ['m2', 'm3', 'm4'], NOW)).to.equal(null);
    const newLeader = repairOf({ m2: 9000, m3: 10, m4: 500 }, 100);
    expect(newLeader.next(statusOf(learners({ m4: 'a:2' })), ['m3', 'm4'], NOW)).to.equal(null);
  });

  // Guards against a lost disk that is only repaired after the time for silence, because another spare is the first in the list.
  it('gives the vote of a lost disk to any spare at once', () => {
    const repair = repairOf({ m2: 500, m3: 10, m4: 10, m5: 10 });
    const status = statusOf(learners({ m4: 'a:4', m5: 'a:2' }));
    expect(repair.next(status, ['m3', 'm4'], NOW)).to.include({ oldReplica: 'm2', newReplica: 'm4' });
  });

  // Guards against lost votes that wait for the log entries of replicas that ask to join.
  it('repairs before it takes anyone in', () => {
    const repair = repairOf({ m2: 3000, m3: 10, m4: 10 });
    repair.onJoinRequest('m6', 'a:6', NOW);
    const status = statusOf(learners({ m4: 'a:4' }));
    expect(repair.next(status, ['m3', 'm4'], NOW)).to.include({ type: 'replace', reason: 'silent' });
    const calm = repairOf({ m2: 10, m3: 10, m4: 10 });
    calm.onJoinRequest('m6', 'a:6', NOW);
    expect(calm.next(status, ['m2', 'm3', 'm4'], NOW)).to.deep.include({ type: 'take-in', replica: 'm6' });
  });
});
