/** Elections where each sync takes longer than an election timeout: disks that are slow, not hung, in replicas that are alive and connected. */
import { expect } from 'chai';
import { ELECTION_TIMEOUT_MILLIS, type ReplicaName, TestCluster } from './test-cluster.js';

const NAMES = ['a', 'b', 'c'];
const SEEDS = [1, 2, 3, 4, 5, 6];
const LIMIT_MILLIS = 200 * ELECTION_TIMEOUT_MILLIS;

function startedCluster(seed: number): { readonly cluster: TestCluster; readonly leader: ReplicaName } {
  const cluster = new TestCluster(seed, NAMES);
  expect(cluster.runUntil(() => cluster.leader !== undefined)).to.equal(true);
  cluster.runFor(2 * ELECTION_TIMEOUT_MILLIS);
  return { cluster, leader: cluster.leader as ReplicaName };
}

describe('disks whose syncs take longer than an election timeout', () => {
  // A candidate's timer runs while its own vote and those of others are being written, and each round takes a new term.
  for (const share of [1.1, 1.5, 2.5]) {
    it(`don't keep three connected replicas without a leader for good, at ${share} election timeouts a sync`, () => {
      for (const seed of SEEDS) {
        const { cluster, leader } = startedCluster(seed);
        for (const name of NAMES) {
          cluster.slowDisk(name, share * ELECTION_TIMEOUT_MILLIS);
        }
        cluster.crash(leader);
        cluster.runFor(1);
        cluster.start(leader);
        const isElected = cluster.runUntil(() => cluster.leader !== undefined, LIMIT_MILLIS);
        const terms = NAMES.map((name) => cluster.status(name).term);
        expect(isElected, `seed ${seed}: a leader within ${LIMIT_MILLIS} ms, terms ${terms}`).to.equal(true);
      }
    });
  }

  it("don't keep a sound replica from being elected by one that is slow, beside a lost one", () => {
    for (const seed of SEEDS) {
      const { cluster, leader } = startedCluster(seed);
      const slow = NAMES.find((name) => name !== leader) as ReplicaName;
      cluster.slowDisk(slow, 2.5 * ELECTION_TIMEOUT_MILLIS);
      cluster.crash(leader);
      const isElected = cluster.runUntil(() => cluster.leader !== undefined, LIMIT_MILLIS);
      expect(isElected, `seed ${seed}: a leader within ${LIMIT_MILLIS} ms`).to.equal(true);
    }
  });
});
