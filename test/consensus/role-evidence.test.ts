/** Contact times that are reported with a role change. */
import { expect } from 'chai';
import type { RaftEffect } from '../../src/consensus/types.js';
import { ELECTION_TIMEOUT_MILLIS, TestCluster } from './test-cluster.js';

const VOTERS = ['a', 'b', 'c'];

type RoleChange = Extract<RaftEffect, { type: 'role-changed' }>;

/** A cluster with a leader, and the later role changes with the replica of each. */
function clusterWithLeader(seed: number): {
  cluster: TestCluster;
  leader: string;
  changes: [string, RoleChange][];
} {
  const cluster = new TestCluster(seed, VOTERS);
  expect(cluster.runUntil(() => cluster.leader !== undefined)).to.equal(true);
  cluster.runFor(2 * ELECTION_TIMEOUT_MILLIS);
  const changes: [string, RoleChange][] = [];
  const { checker } = cluster;
  const checkRoleChange = checker.onRoleChanged.bind(checker);
  checker.onRoleChanged = (replica, effect) => {
    changes.push([replica, effect]);
    checkRoleChange(replica, effect);
  };
  return { cluster, leader: cluster.leader as string, changes };
}

describe('evidence of a role change', () => {
  it('includes the last contact with the leader if a follower starts an election', () => {
    const { cluster, leader, changes } = clusterWithLeader(1);
    const crashedAt = cluster.now;
    cluster.crash(leader);
    expect(cluster.runUntil(() => cluster.leader !== undefined && cluster.leader !== leader)).to.equal(true);
    const [, first] = changes.find(([, { role }]) => role === 'pre-candidate') as [string, RoleChange];
    expect(first.evidence.leaderHeardAt).to.be.within(crashedAt - ELECTION_TIMEOUT_MILLIS, crashedAt + 100);
    expect(first.evidence.quorumLostAt).to.equal(null);
  });

  it('includes the last quorum contact if a leader steps down because it lost its quorum', () => {
    const { cluster, leader, changes } = clusterWithLeader(2);
    const partitionedAt = cluster.now;
    const others = VOTERS.filter((voter) => voter !== leader);
    cluster.cut([leader], others);
    cluster.runFor(4 * ELECTION_TIMEOUT_MILLIS);
    const ownChanges = changes.filter(([replica]) => replica === leader);
    const [, down] = ownChanges.find(([, { role }]) => role === 'follower') as [string, RoleChange];
    expect(down.evidence.quorumLostAt).to.be.within(
      partitionedAt - ELECTION_TIMEOUT_MILLIS,
      partitionedAt + 100,
    );
  });
});
