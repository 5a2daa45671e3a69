/** Membership changes of a leader whose Raft core rejects its proposals. */
import { expect } from 'chai';
import { MembershipChanges } from '../../src/control/membership-changes.js';
import type { RaftAdapter } from '../../src/control/raft-adapter.js';

const POLL_MILLIS = 50;

/** A leader whose Raft core rejects every membership change at once. */
class RejectingRaft {
  proposals = 0;

  isLeader(): boolean {
    return true;
  }

  leaderAddress(): null {
    return null;
  }

  status() {
    return {
      self: 'm1',
      role: 'leader',
      term: 1,
      leader: 'm1',
      commitIndex: 5,
      lastIndex: 5,
      firstIndex: 1,
      membership: { voters: ['m1', 'm2', 'm3'], outgoingVoters: [], learners: [], addresses: {} },
      matchIndexes: {},
    };
  }

  proposeMembership(_proposal: unknown, settle: (outcome: unknown, now: number) => void): void {
    this.proposals += 1;
    settle({ type: 'rejected', reason: 'membership-change-pending' }, 0);
  }
}

describe('a replacement that is temporarily rejected', () => {
  it('is proposed once per poll, however often the control core runs its parts', () => {
    const raft = new RejectingRaft();
    const config = { replaceAfterMillis: 0 } as never;
    const changes = new MembershipChanges({ config, raft: raft as unknown as RaftAdapter, answer: () => {} });
    const address = '127.0.0.4:1';
    changes.begin('op1', { type: 'replace-replica', oldReplica: 'm2', newReplica: 'm4', address }, 1000);
    for (let round = 0; round < 5; round += 1) {
      changes.run(1000);
    }
    expect(raft.proposals).to.equal(1);
    expect(changes.nextDeadline()).to.equal(1000 + POLL_MILLIS);
    changes.run(1000 + POLL_MILLIS);
    expect(raft.proposals).to.equal(2);
  });
});
