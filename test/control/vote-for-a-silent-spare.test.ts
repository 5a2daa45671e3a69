/** Votes for spares that the leader hasn't heard for many heartbeats, in place of voters that are alive, or beside them. */
import { expect } from 'chai';
import type { Membership } from '../../src/consensus/types.js';
import type { ReplicaId } from '../../src/model/identifiers.js';
import { Cluster, SERVICE } from './cluster-harness.js';

const REPLACE_AFTER_MILLIS = 2000;

function startedCluster(): Cluster {
  const cluster = new Cluster({ config: { replaceAfterMillis: REPLACE_AFTER_MILLIS } });
  cluster.runUntil(() => cluster.leader() !== undefined, 5000);
  cluster.change({
    type: 'service-apply',
    definition: { ...SERVICE, keyed: false, keyspaces: [] },
    expected: null,
  });
  cluster.addMember('m4');
  cluster.requestJoin('m4');
  cluster.run(1000);
  return cluster;
}

const membership = (cluster: Cluster): Membership => cluster.leader().core.status().membership;

describe('a spare that has been silent for many heartbeats', () => {
  // In calm it counts as caught up and alive until replaceAfter, though it has left some thirty heartbeats without an answer.
  it('gets no vote of a member that stops as planned and comes back', () => {
    const cluster = startedCluster();
    expect(membership(cluster).learners).to.deep.equal(['m4']);
    const spare = cluster.members.get('m4');
    if (spare !== undefined) {
      cluster.kill(spare);
    }
    cluster.run(REPLACE_AFTER_MILLIS - 200);
    const leader = cluster.leader().id;
    const stopping = membership(cluster).voters.find((voter) => voter !== leader) as ReplicaId;
    const operation = cluster.request({ type: 'release-vote', replica: stopping });
    cluster.run(100);
    const live = membership(cluster).voters.filter((voter) => cluster.members.get(voter)?.alive);
    expect(live, `live voters; answer ${JSON.stringify(cluster.answers.get(operation))}`).to.have.length(3);
  });
});
