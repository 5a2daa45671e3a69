/** Transfer of a snapshot over a link whose round trip takes longer than a heartbeat. */
import { expect } from 'chai';
import { type ReplicaName, TestCluster } from './test-cluster.js';

const NAMES = ['a', 'b', 'c'];
const CHUNK_BYTES = 2;
const LIMIT_MILLIS = 60_000;

describe('a snapshot for a new replica', () => {
  // Each heartbeat sends the chunk again that is still under way, though nothing is lost.
  for (const maxDelayMillis of [60, 100]) {
    it(`is sent about once where messages take up to ${maxDelayMillis} ms and none is lost`, () => {
      const cluster = new TestCluster(5, NAMES, { snapshotChunkBytes: CHUNK_BYTES });
      expect(cluster.runUntil(() => cluster.leader !== undefined)).to.equal(true);
      const leader = cluster.leader as ReplicaName;
      for (let count = 0; count < 50; count += 1) {
        cluster.propose(leader, `command ${count}`);
        cluster.runFor(5);
      }
      for (const name of NAMES) {
        cluster.takeSnapshot(name);
      }
      cluster.network = { dropPerMille: 0, duplicatePerMille: 0, maxDelayMillis };
      cluster.addReplica('d');
      const proposalId = cluster.allocateId();
      cluster.input(leader, { type: 'add-learner', proposalId, replica: 'd', address: '127.0.0.1:1' });
      expect(cluster.runUntil(() => cluster.machine('d').index > 0, LIMIT_MILLIS)).to.equal(true);
      const chunks = cluster.sent.filter((message) => message.type === 'snapshot-request');
      const [first] = chunks;
      const needed = first?.type === 'snapshot-request' ? Math.ceil(first.totalBytes / CHUNK_BYTES) : 0;
      expect(chunks.length, `chunks sent for ${needed}`).to.be.at.most(1.5 * needed);
    });
  }
});
