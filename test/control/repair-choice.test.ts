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

/** Lets the leader see these learners for the first time so many milliseconds ago. */
function see(repair: AutomaticRepair, membership: Partial<Membership>, agoMillis: number): void {
  repair.next(statusOf(membership), [], NOW - agoMillis);
}

function learners(addresses: Readonly<Record<ReplicaId, Address>>): Partial<Membership> {
  return { learners: Object.keys(addresses), addresses };
}

describe('the choice of a repair', () => {
  // Guards against a vote for a replica whose disk is lost already, which in calm counts as caught up until it is silent for long.
  it('is never a replica at whose address another one has been heard since', () => {
    const repair = repairOf({ m2: 3000, m3: 10, m4: 500, m5: 10 });
    const status = statusOf(learners({ m4: 'a:2', m5: 'a:2' }));
    see(repair, learners({ m4: 'a:2', m5: 'a:2' }), 9000);
    expect(repair.next(status, ['m3', 'm4', 'm5'], NOW)).to.include({
      oldReplica: 'm2',
      newReplica: 'm5',
      reason: 'disk-lost',
    });
  });

  it('keeps a live voter at whose address a learner ran before', () => {
    const repair = repairOf({ m2: 10, m3: 10, m4: 500 });
    see(repair, learners({ m4: 'a:2' }), 9000);
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

  it('gives the vote of a lost voter to a spare before that of one that stops, and none to a spare that stops', () => {
    const repair = repairOf({ m2: 10, m3: 10, m4: 10 });
    const status = statusOf(learners({ m4: 'a:4' }));
    repair.onLeave('m2', NOW);
    expect(repair.next(status, ['m3', 'm4'], NOW)).to.include({ oldReplica: 'm2', reason: 'leaving' });
    const lost = repairOf({ m2: 10, m3: 3000, m4: 10 });
    lost.onLeave('m2', NOW);
    expect(lost.next(status, ['m3', 'm4'], NOW)).to.include({ oldReplica: 'm3', reason: 'silent' });
    lost.onLeave('m4', NOW);
    expect(lost.next(status, ['m3', 'm4'], NOW)).to.equal(null);
  });

  it('takes a replica that stopped for a spare again once it asks to join', () => {
    const repair = repairOf({ m2: 10, m3: 3000 });
    repair.onLeave('m4', NOW - 500);
    repair.onJoinRequest('m4', 'a:4', NOW);
    repair.onMessage('m4', NOW);
    const status = statusOf(learners({ m4: 'a:4' }));
    expect(repair.next(status, ['m2', 'm4'], NOW)).to.include({ oldReplica: 'm3', newReplica: 'm4' });
  });

  it('forgets that a replica stops when its silence would count', () => {
    const repair = repairOf({ m2: 10, m3: 10 });
    const status = statusOf(learners({ m4: 'a:4' }));
    repair.onLeave('m2', NOW);
    const later = NOW + REPLACE_AFTER_MILLIS;
    for (const replica of ['m2', 'm3', 'm4']) {
      repair.onMessage(replica, later);
    }
    expect(repair.next(status, ['m3', 'm4'], later)).to.equal(null);
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

  describe('of a learner to remove', () => {
    const SAME_ADDRESS = learners({ m4: 'a:2', m5: 'a:2' });

    // Guards against replicas that lost their disk before their vote and stay members for ever.
    it('is one that was silent for long, while another learner or a voter was heard at its address', () => {
      const lost = { type: 'remove', replica: 'm4', address: 'a:2', successor: 'm5' };
      const beside = repairOf({ m3: 10, m2: 4000, m4: REPLACE_AFTER_MILLIS, m5: 10 });
      see(beside, SAME_ADDRESS, 9000);
      expect(beside.next(statusOf({ ...SAME_ADDRESS, voters: ['m1', 'm3'] }), [], NOW)).to.deep.equal(lost);
      const below = repairOf({ m2: 10, m3: 10, m4: REPLACE_AFTER_MILLIS });
      see(below, learners({ m4: 'a:2' }), 9000);
      const removed = below.next(statusOf(learners({ m4: 'a:2' })), ['m2', 'm3'], NOW);
      expect(removed).to.deep.equal({ ...lost, successor: 'm2' });
    });

    it('is one at whose address this leader runs', () => {
      const repair = repairOf({ m2: 10, m3: 10 });
      see(repair, learners({ m4: 'a:1' }), 9000);
      const removed = repair.next(statusOf(learners({ m4: 'a:1' })), ['m2', 'm3'], NOW);
      expect(removed).to.deep.equal({ type: 'remove', replica: 'm4', address: 'a:1', successor: SELF });
    });

    it('is never one at an address of its own, or without an address, however long it is silent', () => {
      const repair = repairOf({ m2: 10, m3: 10, m4: 90_000 });
      see(repair, learners({ m4: 'a:4' }), 90_000);
      expect(repair.next(statusOf(learners({ m4: 'a:4' })), ['m2', 'm3'], NOW)).to.equal(null);
      const without = { learners: ['m4', 'm5'], addresses: { m4: '', m5: '' } };
      see(repair, without, 90_000);
      repair.onMessage('m5', NOW);
      expect(repair.next(statusOf(without), ['m2', 'm3'], NOW)).to.equal(null);
    });

    it('is never one whose silence began with this leadership', () => {
      const repair = repairOf({ m2: 10, m3: 10, m4: 9000, m5: 10 }, REPLACE_AFTER_MILLIS - 1);
      const status = statusOf({ ...SAME_ADDRESS, voters: ['m1', 'm3'] });
      see(repair, SAME_ADDRESS, REPLACE_AFTER_MILLIS - 1);
      expect(repair.next(status, [], NOW)).to.equal(null);
      expect(repair.next(status, [], NOW + 1)).to.include({ type: 'remove', replica: 'm4' });
    });

    it('is never one that was just taken in and has not been heard yet', () => {
      const repair = repairOf({ m2: 4000, m3: 10 });
      const status = statusOf(learners({ m4: 'a:2' }));
      expect(repair.next(status, ['m3'], NOW)).to.equal(null);
      repair.onMessage('m2', NOW + 10);
      expect(repair.next(status, ['m2', 'm3'], NOW + REPLACE_AFTER_MILLIS - 1)).to.equal(null);
    });

    it('is the one that was heard longer ago, and none if both answer', () => {
      const before = repairOf({ m2: 10, m3: 10, m4: 3000, m5: 5000 });
      see(before, SAME_ADDRESS, 9000);
      const status = statusOf({ ...SAME_ADDRESS, voters: ['m1', 'm3'] });
      expect(before.next(status, [], NOW)).to.include({ type: 'remove', replica: 'm5' });
      const both = repairOf({ m3: 10, m4: 20, m5: 10 });
      see(both, SAME_ADDRESS, 9000);
      expect(both.next(status, [], NOW)).to.equal(null);
    });

    it('waits until voters are repaired and spares are taken in', () => {
      const repair = repairOf({ m2: 10, m3: 3000, m4: 3000, m5: 10 });
      const status = statusOf(learners({ m4: 'a:2', m5: 'a:5' }));
      see(repair, learners({ m4: 'a:2', m5: 'a:5' }), 9000);
      expect(repair.next(status, ['m2', 'm5'], NOW)).to.include({ type: 'replace', oldReplica: 'm3' });
      repair.onMessage('m3', NOW);
      repair.onJoinRequest('m6', 'a:6', NOW);
      expect(repair.next(status, ['m2', 'm5'], NOW)).to.include({ type: 'take-in' });
    });
  });
});
