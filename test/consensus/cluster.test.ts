import { expect } from 'chai';
import { ELECTION_TIMEOUT_MILLIS, TestCluster } from './test-cluster.js';

/** A cluster with a leader whose noop is committed on every replica. */
function clusterWithLeader(
  seed: number,
  voters: readonly string[],
): { cluster: TestCluster; leader: string } {
  const cluster = new TestCluster(seed, voters);
  expect(cluster.runUntil(() => cluster.leader !== undefined)).to.equal(true);
  cluster.runFor(ELECTION_TIMEOUT_MILLIS);
  return { cluster, leader: cluster.leader as string };
}

describe('raft clusters', () => {
  for (const voters of [['a'], ['a', 'b', 'c'], ['a', 'b', 'c', 'd', 'e']]) {
    it(`${voters.length} voters elect one leader and apply all proposals`, () => {
      const { cluster, leader } = clusterWithLeader(voters.length, voters);
      for (let number = 0; number < 50; number += 1) {
        cluster.propose(leader, `command ${number}`);
      }
      cluster.runFor(500);
      const machines = voters.map((voter) => cluster.machine(voter));
      expect(machines[0]?.index).to.equal(51);
      expect(new Set(machines.map((machine) => machine.digest)).size).to.equal(1);
      const accepted = [...cluster.proposals.values()].filter(({ type }) => type === 'proposal-accepted');
      expect(accepted.length).to.equal(50);
    });
  }

  it('reads that may wait are confirmed by regular heartbeats, others by their own round', () => {
    const { cluster, leader } = clusterWithLeader(7, ['a', 'b', 'c']);
    const requestsWhile = (mayWait: boolean): number => {
      const before = appendRequests(cluster);
      for (let count = 0; count < 30; count += 1) {
        const readId = cluster.read(leader, mayWait);
        cluster.runFor(20);
        cluster.runUntil(() => cluster.reads.has(readId));
        expect(cluster.reads.get(readId)?.type).to.equal('read-ready');
      }
      return appendRequests(cluster) - before;
    };
    const waiting = requestsWhile(true);
    const atOnce = requestsWhile(false);
    // Heartbeats each 30 ms to two followers; a separate round adds one request to each.
    expect(waiting).to.be.below(2 * 30 * 2);
    expect(atOnce).to.be.above(2 * 30);
    expect(atOnce / 600).to.be.above((waiting / 900) * 2);
  });

  it('a read that may wait sees everything committed before its request, also on a follower', () => {
    const { cluster, leader } = clusterWithLeader(8, ['a', 'b', 'c']);
    const follower = ['a', 'b', 'c'].find((name) => name !== leader) as string;
    cluster.propose(leader, 'before');
    cluster.runFor(100);
    const { commitIndex } = cluster.status(leader);
    const readId = cluster.read(follower, true);
    expect(cluster.runUntil(() => cluster.reads.has(readId))).to.equal(true);
    expect(cluster.reads.get(readId)).to.deep.include({ type: 'read-ready', index: commitIndex });
  });
});

const STARTS = 100;

/** Times from the start of all replicas to the first leader, in ascending order. */
function timesToLeader(lost: readonly string[]): number[] {
  const times: number[] = [];
  for (let seed = 1; seed <= STARTS; seed += 1) {
    const cluster = new TestCluster(seed, ['a', 'b', 'c']);
    for (const name of lost) {
      cluster.crash(name);
    }
    cluster.runUntil(() => cluster.leader !== undefined);
    times.push(cluster.now);
  }
  return times.sort((one, other) => one - other);
}

describe('the first election', () => {
  for (const lost of [[], ['c']]) {
    it(`completes soon after the start of all replicas, ${lost.length} of 3 lost`, () => {
      const times = timesToLeader(lost);
      expect(times[STARTS / 2]).to.be.below(0.5 * ELECTION_TIMEOUT_MILLIS);
      expect(times[STARTS - 1]).to.be.below(2 * ELECTION_TIMEOUT_MILLIS);
    });
  }

  it('is not disturbed by a replica that starts later: the leader and its term stay', () => {
    const { cluster, leader } = clusterWithLeader(9, ['a', 'b', 'c']);
    const follower = ['a', 'b', 'c'].find((name) => name !== leader) as string;
    const { term } = cluster.status(leader);
    cluster.crash(follower);
    cluster.runFor(50);
    cluster.start(follower);
    cluster.runFor(10 * ELECTION_TIMEOUT_MILLIS);
    expect(cluster.leader).to.equal(leader);
    expect(cluster.status(leader).term).to.equal(term);
  });
});

function appendRequests(cluster: TestCluster): number {
  return cluster.sent.filter(({ type }) => type === 'append-request').length;
}
