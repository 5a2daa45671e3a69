/** Automatic repair of the control cluster beside further faults: the replica that is to vote dies, or never holds quite everything. */
import { expect } from 'chai';
import type { Membership } from '../../src/consensus/types.js';
import type { OperatorRequest } from '../../src/control/types.js';
import type { ReplicaId } from '../../src/model/identifiers.js';
import { addressOf, Cluster, type ClusterOptions, SERVICE, upstream } from './cluster-harness.js';

const REPLACE_AFTER_MILLIS = 2000;
const ASK_MILLIS = 1000;
const REPAIR_MILLIS = 8000;
const CHANGE_MILLIS = 5;
const SLOW_SYNC_MILLIS = 30;
const HANGING_SYNC_MILLIS = 1000;

function startCluster(options: ClusterOptions = {}): Cluster {
  const cluster = new Cluster({ ...options, config: { replaceAfterMillis: REPLACE_AFTER_MILLIS } });
  cluster.runUntil(() => cluster.leader() !== undefined, 5000);
  const definition = { ...SERVICE, keyed: false, keyspaces: [] };
  cluster.change({ type: 'service-apply', definition, expected: null });
  return cluster;
}

function membership(cluster: Cluster): Membership {
  return cluster.leader().core.status().membership;
}

function follower(cluster: Cluster): ReplicaId {
  const found = [...cluster.members.values()].find(({ id, alive }) => alive && id !== cluster.leader().id);
  return found?.id as ReplicaId;
}

function lose(cluster: Cluster, id: ReplicaId): void {
  const member = cluster.members.get(id);
  if (member !== undefined) {
    cluster.kill(member);
  }
}

/** Runs the cluster while the replica requests to join, as its daemon does. */
function runAsking(cluster: Cluster, id: ReplicaId, millis: number, address = addressOf(id)): void {
  for (let passed = 0; passed < millis; passed += ASK_MILLIS) {
    cluster.requestJoin(id, address);
    cluster.run(ASK_MILLIS);
  }
}

/** Runs the cluster while changes come all the time. */
function runChanging(cluster: Cluster, millis: number): void {
  for (let passed = 0; passed < millis; passed += CHANGE_MILLIS) {
    const definition = upstream(`u${passed}`, { service: SERVICE.name });
    const command = { type: 'upstream-apply', definition, expected: null } as const;
    const requestId = `at-${cluster.time}`;
    cluster.request({ type: 'command', requestId, actor: 'test', command, wait: false });
    cluster.run(CHANGE_MILLIS);
  }
}

describe('automatic repair', () => {
  // Guards against a replacement that waits for ever for a replica whose disk was lost again, so that nothing is repaired any more.
  it('goes on when the new voter dies at any moment of its replacement', () => {
    for (let millis = 0; millis <= 12; millis += 1) {
      const cluster = startCluster({ seed: millis });
      cluster.addMember('m4');
      runAsking(cluster, 'm4', 3000);
      const lost = follower(cluster);
      lose(cluster, lost);
      cluster.runUntil(() => membership(cluster).outgoingVoters.length > 0, REPAIR_MILLIS);
      cluster.run(millis);
      lose(cluster, 'm4');
      cluster.addMember('m5');
      runAsking(cluster, 'm5', REPAIR_MILLIS, addressOf('m4'));
      const { voters } = membership(cluster);
      expect(voters, `m4 lost after ${millis} ms`).to.include('m5');
      expect(voters).to.not.include('m4').and.to.not.include(lost);
      expect(voters).to.have.length(3);
    }
  });

  // Guards against the same beside changes that come all the time, where the new replica is caught up at one look and not at the next.
  it('goes on when the new voter dies before its replacement, beside changes', () => {
    for (let millis = 0; millis <= 20; millis += 2) {
      const cluster = startCluster({ seed: millis });
      cluster.addMember('m4');
      runAsking(cluster, 'm4', 3000);
      cluster.syncMillis.set('m4', SLOW_SYNC_MILLIS);
      const lost = follower(cluster);
      lose(cluster, lost);
      runChanging(cluster, REPLACE_AFTER_MILLIS + millis);
      lose(cluster, 'm4');
      cluster.addMember('m5');
      runAsking(cluster, 'm5', REPAIR_MILLIS, addressOf('m4'));
      const { voters } = membership(cluster);
      expect(voters, `m4 lost after ${millis} ms`).to.include('m5');
      expect(voters).to.not.include(lost);
    }
  });

  // Guards against an operator's request that names a replica which never starts: nothing was repaired until the leader changed.
  it('goes on while an operator waits for a replica that never comes', () => {
    const cluster = startCluster();
    const lost = follower(cluster);
    lose(cluster, lost);
    const awaited = { type: 'replace-replica', oldReplica: lost, newReplica: 'm9', address: addressOf('m9') };
    const operation = cluster.request(awaited as OperatorRequest);
    cluster.run(REPLACE_AFTER_MILLIS);
    cluster.addMember('m4');
    runAsking(cluster, 'm4', REPAIR_MILLIS);
    expect(membership(cluster).voters).to.include('m4').and.to.not.include(lost);
    expect(cluster.answers.get(operation)).to.include({ type: 'rejected' });
  });

  it('goes on when the replica that an operator asked for dies as soon as it votes', () => {
    for (let millis = 0; millis <= 12; millis += 1) {
      const cluster = startCluster({ seed: millis });
      const old = follower(cluster);
      cluster.addMember('m4');
      cluster.request({
        type: 'replace-replica',
        oldReplica: old,
        newReplica: 'm4',
        address: addressOf('m4'),
      });
      cluster.runUntil(() => membership(cluster).outgoingVoters.length > 0, REPAIR_MILLIS);
      cluster.run(millis);
      lose(cluster, 'm4');
      lose(cluster, old);
      cluster.addMember('m5');
      runAsking(cluster, 'm5', REPAIR_MILLIS, addressOf('m4'));
      const { voters } = membership(cluster);
      expect(voters, `m4 lost after ${millis} ms`).to.include('m5').and.to.not.include('m4');
    }
  });

  // Guards against a vote that waits until the new replica has synced every committed entry, while entries are committed all the time.
  it('gives the vote to a replica that is always a little behind', () => {
    const cluster = startCluster();
    cluster.addMember('m4');
    runAsking(cluster, 'm4', 3000);
    cluster.syncMillis.set('m4', SLOW_SYNC_MILLIS);
    const lost = follower(cluster);
    lose(cluster, lost);
    runChanging(cluster, REPLACE_AFTER_MILLIS + 1000);
    expect(membership(cluster).voters).to.include('m4').and.to.not.include(lost);
  });

  it('gives no vote to a replica that falls further and further behind', () => {
    const cluster = startCluster();
    cluster.addMember('m4');
    runAsking(cluster, 'm4', 3000);
    cluster.syncMillis.set('m4', HANGING_SYNC_MILLIS);
    const lost = follower(cluster);
    lose(cluster, lost);
    runChanging(cluster, REPLACE_AFTER_MILLIS + 1000);
    expect(membership(cluster).voters).to.include(lost).and.to.not.include('m4');
  });

  // Guards against replicas that lost their disk before their vote and stay members for ever.
  it('removes a learner whose disk was lost again before its vote, also under the next leader', () => {
    const cluster = startCluster();
    const lost = follower(cluster);
    const address = addressOf(lost);
    lose(cluster, lost);
    cluster.addMember('m4');
    cluster.syncMillis.set('m4', HANGING_SYNC_MILLIS);
    cluster.requestJoin('m4', address);
    cluster.run(100);
    expect(membership(cluster).learners).to.deep.equal(['m4']);
    lose(cluster, 'm4');
    cluster.addMember('m5');
    runAsking(cluster, 'm5', ASK_MILLIS, address);
    const former = cluster.leader().id;
    expect(membership(cluster)).to.deep.include({ learners: ['m4'] });
    expect(membership(cluster).voters).to.include('m5').and.to.not.include(lost);
    cluster.ask({ type: 'transfer-leadership', to: null });
    cluster.runUntil(() => cluster.leader() !== undefined, 5000);
    expect(cluster.leader().id).to.not.equal(former);
    cluster.run(REPLACE_AFTER_MILLIS - 200);
    expect(membership(cluster).learners).to.deep.equal(['m4']);
    cluster.run(400);
    expect(membership(cluster).learners).to.deep.equal([]);
    expect(Object.keys(membership(cluster).addresses)).to.not.include('m4');
  });

  it('keeps a silent spare whose address is its own, which votes after its return', () => {
    const cluster = startCluster();
    cluster.addMember('m4');
    runAsking(cluster, 'm4', 3000);
    lose(cluster, 'm4');
    cluster.run(20_000);
    expect(membership(cluster).learners).to.deep.equal(['m4']);
    cluster.restart('m4');
    cluster.run(1000);
    const lost = follower(cluster);
    lose(cluster, lost);
    cluster.run(REPLACE_AFTER_MILLIS + 500);
    expect(membership(cluster).voters).to.include('m4').and.to.not.include(lost);
  });

  it('completes whenever the leader is lost in the middle', () => {
    for (let millis = 0; millis <= 12; millis += 1) {
      const cluster = startCluster({ members: 5, seed: millis });
      cluster.addMember('m6');
      runAsking(cluster, 'm6', 3000);
      const lost = follower(cluster);
      lose(cluster, lost);
      cluster.runUntil(() => membership(cluster).outgoingVoters.length > 0, REPAIR_MILLIS);
      cluster.run(millis);
      cluster.kill(cluster.leader());
      cluster.runUntil(() => cluster.leader() !== undefined, 5000);
      cluster.run(REPAIR_MILLIS);
      const { voters, outgoingVoters } = membership(cluster);
      expect(outgoingVoters).to.deep.equal([]);
      expect(voters, `leader lost after ${millis} ms`).to.include('m6').and.to.not.include(lost);
    }
  });
});
