/** A disk that is slow at one replica at a time, by turns: who leads meanwhile, and whether changes go on. */
import { expect } from 'chai';
import { ELECTION_TIMEOUT_MILLIS, TestCluster } from './test-cluster.js';

const SEEDS = [1, 2, 3, 4, 5];
const SLOW_SYNC_MILLIS = 1.5 * ELECTION_TIMEOUT_MILLIS;
const FAST_SYNC_MILLIS = 2;
const TURN_MILLIS = 1000;
const TURNS = 30;
const PROPOSAL_MILLIS = 20;

/** Commit index of the replica that is furthest. */
function commitIndexOf(cluster: TestCluster): number {
  return Math.max(
    ...cluster.names.filter((name) => cluster.isUp(name)).map((name) => cluster.status(name).commitIndex),
  );
}

function termOf(cluster: TestCluster): number {
  return Math.max(...cluster.names.map((name) => cluster.status(name).term));
}

/** Proposes at whoever leads, again and again. */
function proposeFor(cluster: TestCluster, millis: number): void {
  const end = cluster.now + millis;
  while (cluster.now < end) {
    const { leader } = cluster;
    if (leader !== undefined) {
      cluster.propose(leader, `at ${cluster.now}`);
    }
    cluster.runFor(PROPOSAL_MILLIS);
  }
}

describe('a disk that is slow at each replica by turns', () => {
  for (const voters of [
    ['a', 'b', 'c'],
    ['a', 'b', 'c', 'd', 'e'],
  ]) {
    it(`costs no election and stops no changes: ${voters.length} voters`, () => {
      for (const seed of SEEDS) {
        const cluster = new TestCluster(seed, voters);
        expect(cluster.runUntil(() => cluster.leader !== undefined)).to.equal(true);
        cluster.runFor(2 * ELECTION_TIMEOUT_MILLIS);
        const term = termOf(cluster);
        for (let turn = 0; turn < TURNS; turn += 1) {
          const slow = voters[turn % voters.length];
          for (const name of voters) {
            cluster.slowDisk(name, name === slow ? SLOW_SYNC_MILLIS : FAST_SYNC_MILLIS);
          }
          const before = commitIndexOf(cluster);
          proposeFor(cluster, TURN_MILLIS);
          expect(commitIndexOf(cluster), `seed ${seed}, turn ${turn}`).to.be.above(before);
        }
        expect(termOf(cluster), `seed ${seed}: no election`).to.equal(term);
      }
    });
  }

  it('lets a leader be elected in each turn, after the loss of the last one', () => {
    const voters = ['a', 'b', 'c'];
    for (const seed of SEEDS) {
      const cluster = new TestCluster(seed, voters);
      expect(cluster.runUntil(() => cluster.leader !== undefined)).to.equal(true);
      for (let turn = 0; turn < TURNS; turn += 1) {
        const slow = voters[turn % voters.length];
        for (const name of voters) {
          cluster.slowDisk(name, name === slow ? SLOW_SYNC_MILLIS : FAST_SYNC_MILLIS);
        }
        const lost = cluster.leader ?? 'a';
        cluster.crash(lost);
        const before = commitIndexOf(cluster);
        proposeFor(cluster, TURN_MILLIS);
        cluster.start(lost);
        proposeFor(cluster, TURN_MILLIS);
        expect(commitIndexOf(cluster), `seed ${seed}, turn ${turn}`).to.be.above(before);
      }
    }
  });
});
