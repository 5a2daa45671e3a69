/** A new replica that needs a snapshot while the disk of whoever leads hangs by turns. */
import { expect } from 'chai';
import { ELECTION_TIMEOUT_MILLIS, type ReplicaName, TestCluster } from './test-cluster.js';

const NAMES = ['a', 'b', 'c'];
const SEEDS = [1, 2, 3, 4];
const HANG_MILLIS = 350;
const PAUSE_MILLIS = 100;
const LIMIT_MILLIS = 20 * ELECTION_TIMEOUT_MILLIS;

describe('a snapshot for a new replica, beside handovers', () => {
  // Each new leader begins the transfer anew, so that what took 0.8 s without handovers takes 3 to 15 s.
  it('arrives while leaders whose disks hang hand over', () => {
    for (const seed of SEEDS) {
      const cluster = new TestCluster(seed, NAMES, { snapshotChunkBytes: 1 });
      expect(cluster.runUntil(() => cluster.leader !== undefined)).to.equal(true);
      for (let count = 0; count < 50; count += 1) {
        cluster.propose(cluster.leader as ReplicaName, `command ${count}`);
        cluster.runFor(5);
      }
      for (const name of NAMES) {
        cluster.takeSnapshot(name);
      }
      cluster.network = { dropPerMille: 0, duplicatePerMille: 0, maxDelayMillis: 24 };
      cluster.addReplica('d');
      const proposalId = cluster.allocateId();
      const leader = cluster.leader as ReplicaName;
      cluster.input(leader, { type: 'add-learner', proposalId, replica: 'd', address: '127.0.0.1:1' });
      const end = cluster.now + LIMIT_MILLIS;
      while (cluster.machine('d').index === 0 && cluster.now < end) {
        const hanging = cluster.leader ?? (NAMES[0] as ReplicaName);
        cluster.holdDisk(hanging);
        propose(cluster, HANG_MILLIS);
        cluster.releaseDisk(hanging);
        propose(cluster, PAUSE_MILLIS);
      }
      expect(cluster.machine('d').index, `seed ${seed}, ${cluster.handovers.length} handovers`).to.be.above(
        0,
      );
    }
  });
});

function propose(cluster: TestCluster, millis: number): void {
  for (let passed = 0; passed < millis; passed += 10) {
    if (cluster.leader !== undefined) {
      cluster.propose(cluster.leader, `at ${cluster.now}`);
    }
    cluster.runFor(10);
  }
}
