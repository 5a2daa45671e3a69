import { expect } from 'chai';
import { ELECTION_TIMEOUT_MILLIS, TestCluster } from './test-cluster.js';

/** A cluster with a leader whose noop is committed everywhere. */
function settled(seed: number, voters: readonly string[]): { cluster: TestCluster; leader: string } {
  const cluster = new TestCluster(seed, voters);
  expect(cluster.runUntil(() => cluster.leader !== undefined)).to.equal(true);
  cluster.runFor(ELECTION_TIMEOUT_MILLIS);
  return { cluster, leader: cluster.leader as string };
}

describe('raft clusters', () => {
  for (const voters of [['a'], ['a', 'b', 'c'], ['a', 'b', 'c', 'd', 'e']]) {
    it(`${voters.length} voters elect one leader and apply what is proposed`, () => {
      const { cluster, leader } = settled(voters.length, voters);
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
});
