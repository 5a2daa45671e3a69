import { expect } from 'chai';
import { PauseGrace } from '../../src/consensus/pause-grace.js';
import { ELECTION_TIMEOUT_MILLIS, TestCluster } from './test-cluster.js';

const VOTERS = ['a', 'b', 'c'];

describe('a pause of the replicas', () => {
  for (const seed of [1, 2, 3, 4, 5]) {
    it(`keeps the leader when all replicas are paused for long (seed ${seed})`, () => {
      const cluster = new TestCluster(seed, VOTERS);
      expect(cluster.runUntil(() => cluster.leader !== undefined)).to.equal(true);
      cluster.runFor(ELECTION_TIMEOUT_MILLIS);
      const leader = cluster.leader as string;
      const { term } = cluster.status(leader);
      for (const voter of VOTERS) {
        cluster.pause(voter);
      }
      cluster.runFor(5 * ELECTION_TIMEOUT_MILLIS);
      for (const voter of VOTERS) {
        cluster.resume(voter);
      }
      cluster.runFor(2 * ELECTION_TIMEOUT_MILLIS);
      expect(cluster.leader).to.equal(leader);
      expect(cluster.status(leader).term).to.equal(term);
    });
  }

  it('is not taken for a hang of the disk, if it began during a write', () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const cluster = new TestCluster(seed, VOTERS);
      expect(cluster.runUntil(() => cluster.leader !== undefined)).to.equal(true);
      cluster.runFor(ELECTION_TIMEOUT_MILLIS);
      const leader = cluster.leader as string;
      const { term } = cluster.status(leader);
      cluster.propose(leader, 'before the pause');
      for (const voter of VOTERS) {
        cluster.pause(voter);
      }
      cluster.runFor(5 * ELECTION_TIMEOUT_MILLIS);
      for (const voter of VOTERS) {
        cluster.resume(voter);
      }
      cluster.runFor(2 * ELECTION_TIMEOUT_MILLIS);
      expect(cluster.leader, `seed ${seed}`).to.equal(leader);
      expect(cluster.status(leader).term, `seed ${seed}`).to.equal(term);
    }
  });

  it('still makes a leader without contact to a quorum step down', () => {
    const cluster = new TestCluster(6, VOTERS);
    expect(cluster.runUntil(() => cluster.leader !== undefined)).to.equal(true);
    const leader = cluster.leader as string;
    cluster.cut(
      [leader],
      VOTERS.filter((voter) => voter !== leader),
    );
    cluster.pause(leader);
    cluster.runFor(5 * ELECTION_TIMEOUT_MILLIS);
    cluster.resume(leader);
    cluster.runFor(ELECTION_TIMEOUT_MILLIS);
    expect(cluster.status(leader).role).not.to.equal('leader');
  });
});

describe('PauseGrace', () => {
  it('extends a deadline once, and only for a late step', () => {
    const grace = new PauseGrace(10);
    expect(grace.hasPassed(100, 100, 100)).to.equal(true);
    expect(grace.hasPassed(200, 200, 215)).to.equal(false);
    expect(grace.extendedDeadline(200)).to.equal(225);
    expect(grace.hasPassed(200, 225, 240)).to.equal(true);
    expect(grace.hasPassed(300, 300, 320)).to.equal(false);
  });
});
