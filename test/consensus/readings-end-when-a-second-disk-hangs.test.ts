/** A leader whose disk hangs, and then the disk of a follower that had synced more: followers' readings, which need no disk. */
import { expect } from 'chai';
import { ELECTION_TIMEOUT_MILLIS, type ReplicaName, TestCluster } from './test-cluster.js';

const NAMES = ['a', 'b', 'c'];
const SEEDS = [1, 2, 3, 4, 5];
const READINGS = 20;

describe('a leader whose disk hangs', () => {
  // What a voter synced before its own disk hung is taken for a disk that works, as long as the leader's hangs.
  it('stays and confirms readings once the disk of a voter that had synced more hangs too', () => {
    for (const seed of SEEDS) {
      const cluster = new TestCluster(seed, NAMES);
      expect(cluster.runUntil(() => cluster.leader !== undefined)).to.equal(true);
      cluster.runFor(2 * ELECTION_TIMEOUT_MILLIS);
      const leader = cluster.leader as ReplicaName;
      const [second, third] = NAMES.filter((name) => name !== leader) as [ReplicaName, ReplicaName];
      cluster.holdDisk(leader);
      cluster.propose(leader, 'one');
      cluster.propose(leader, 'two');
      cluster.runFor(100);
      cluster.holdDisk(second);
      cluster.propose(leader, 'three');
      cluster.runFor(10 * ELECTION_TIMEOUT_MILLIS);
      let confirmed = 0;
      for (let count = 0; count < READINGS; count += 1) {
        const read = cluster.read(third);
        cluster.runFor(ELECTION_TIMEOUT_MILLIS);
        confirmed += cluster.reads.get(read)?.type === 'read-ready' ? 1 : 0;
      }
      expect(confirmed, `seed ${seed}: readings of ${third}, handovers ${cluster.handovers.length}`).to.equal(
        READINGS,
      );
    }
  });
});
