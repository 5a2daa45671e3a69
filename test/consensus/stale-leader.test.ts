/** A follower that is told by its leader that it leads no more. */
import { expect } from 'chai';
import { ELECTION_TIMEOUT_MILLIS, TestCluster } from './test-cluster.js';

const VOTERS = ['a', 'b', 'c', 'd', 'e'];

describe('a follower whose leader has stepped down', () => {
  for (const seed of [1, 2, 3, 4, 5]) {
    it(`names it as the leader no more, once it has said so: seed ${seed}`, () => {
      const cluster = new TestCluster(seed, VOTERS);
      expect(cluster.runUntil(() => cluster.leader !== undefined)).to.equal(true);
      cluster.runFor(2 * ELECTION_TIMEOUT_MILLIS);
      const former = cluster.leader as string;
      const [follower, ...others] = VOTERS.filter((voter) => voter !== former) as [string, ...string[]];
      cluster.cut([former, follower], others);
      expect(cluster.runUntil(() => cluster.status(former).role !== 'leader')).to.equal(true);
      expect(cluster.status(follower).leader).to.equal(former);
      const { term } = cluster.status(follower);
      const readId = cluster.read(follower);
      expect(cluster.runUntil(() => cluster.reads.has(readId), ELECTION_TIMEOUT_MILLIS / 2)).to.equal(true);
      expect(cluster.reads.get(readId)).to.include({ type: 'read-failed', leader: null });
      expect(cluster.status(follower)).to.include({ leader: null, term });
      cluster.heal();
      expect(cluster.runUntil(() => cluster.status(follower).leader !== null)).to.equal(true);
      expect(cluster.status(cluster.status(follower).leader as string).role).to.equal('leader');
    });
  }
});
