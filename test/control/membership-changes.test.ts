/** Membership changes of a leader whose Raft core rejects its proposals. */
import { expect } from 'chai';
import type { RaftStatus } from '../../src/consensus/types.js';
import { MembershipChanges } from '../../src/control/membership-changes.js';
import type { MembershipProposal, RaftAdapter } from '../../src/control/raft-adapter.js';
import type { ControlConfig } from '../../src/control/types.js';

const POLL_MILLIS = 50;

function membershipChanges(config: Partial<ControlConfig>, raft: unknown): MembershipChanges {
  const parts = { config: config as ControlConfig, raft: raft as RaftAdapter };
  return new MembershipChanges({ ...parts, answer: () => {}, log: () => {} });
}

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

  details() {
    return { caughtUp: [] };
  }

  proposeMembership(_proposal: unknown, settle: (outcome: unknown, now: number) => void): void {
    this.proposals += 1;
    settle({ type: 'rejected', reason: 'membership-change-pending' }, 0);
  }
}

/** A leader whose Raft core accepts every membership change unless it is busy with another one, and whose status the test sets. */
class ObedientRaft {
  readonly proposals: MembershipProposal[] = [];
  isBusy = false;
  status: () => RaftStatus = () => this.current;
  current: RaftStatus = {
    self: 'm1',
    role: 'leader',
    term: 1,
    leader: 'm1',
    commitIndex: 5,
    lastIndex: 5,
    firstIndex: 1,
    membership: { voters: ['m1', 'm2', 'm3'], outgoingVoters: [], learners: ['m4', 'm5'], addresses: {} },
    matchIndexes: {},
  };

  isLeader(): boolean {
    return true;
  }

  leaderAddress(): null {
    return null;
  }

  details() {
    const { matchIndexes, commitIndex } = this.current;
    const members = Object.entries(matchIndexes);
    return { caughtUp: members.filter(([, index]) => index >= commitIndex).map(([replica]) => replica) };
  }

  proposeMembership(proposal: MembershipProposal, settle: (outcome: unknown, now: number) => void): void {
    this.proposals.push(proposal);
    if (this.isBusy) {
      settle({ type: 'rejected', reason: 'membership-change-pending' }, 0);
    }
  }
}

describe('a replacement by the leader itself', () => {
  let raft: ObedientRaft;
  let changes: MembershipChanges;

  beforeEach(() => {
    raft = new ObedientRaft();
    changes = membershipChanges({ replaceAfterMillis: 2000 }, raft);
    changes.onRoleChange(0);
    for (const replica of ['m2', 'm4', 'm5']) {
      changes.onPeerMessage(replica, 2000);
    }
    raft.current = { ...raft.current, matchIndexes: { m2: 5, m4: 5, m5: 4 } };
  });

  // Guards against a vote that waits for the next poll although its replica is caught up.
  it('is proposed at once', () => {
    changes.run(2000);
    expect(raft.proposals).to.deep.equal([{ type: 'change-voters', voters: ['m1', 'm2', 'm4'] }]);
  });

  // Guards against a replacement that waits for ever for a replica that was caught up once and is lost now.
  it('takes another replica if the first one falls behind', () => {
    raft.isBusy = true;
    changes.run(2000);
    raft.isBusy = false;
    raft.proposals.length = 0;
    raft.current = { ...raft.current, commitIndex: 6, matchIndexes: { m2: 6, m4: 5, m5: 6 } };
    for (let now = 2050; now <= 2500; now += POLL_MILLIS) {
      changes.run(now);
    }
    expect(raft.proposals).to.deep.equal([{ type: 'change-voters', voters: ['m1', 'm2', 'm5'] }]);
  });

  // Guards against a vote for a replica that fell silent while the Raft core was busy with another change.
  it('is not proposed again for a replica that has been silent since', () => {
    raft.isBusy = true;
    changes.run(2000);
    raft.isBusy = false;
    raft.proposals.length = 0;
    changes.onPeerMessage('m2', 2500);
    changes.run(2500);
    expect(raft.proposals).to.deep.equal([]);
  });
});

describe('a replacement that is temporarily rejected', () => {
  it('is proposed once per poll, however often the control core runs its parts', () => {
    const raft = new RejectingRaft();
    const config = { replaceAfterMillis: 0 };
    const changes = membershipChanges(config, raft);
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
