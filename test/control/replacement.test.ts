/** Replacement of a lost replica, requested by an operator or started by the leader itself. */
import { expect } from 'chai';
import type { Membership, RaftStatus } from '../../src/consensus/types.js';
import { JoinWatch } from '../../src/control/join-watch.js';
import type { OperatorResponse } from '../../src/control/types.js';
import type { ReplicaId } from '../../src/model/identifiers.js';
import { addressOf, Cluster, type ClusterOptions, SERVICE, upstream } from './cluster-harness.js';

const REPLACE_AFTER_MILLIS = 2000;
const ASK_MILLIS = 1000;

function startCluster(options: ClusterOptions = {}): Cluster {
  const cluster = new Cluster(options);
  cluster.runUntil(() => cluster.leader() !== undefined, 5000);
  cluster.change({
    type: 'service-apply',
    definition: { ...SERVICE, keyed: false, keyspaces: [] },
    expected: null,
  });
  return cluster;
}

function membership(cluster: Cluster): Membership {
  return cluster.leader().core.status().membership;
}

/** Returns a live follower. */
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

function declare(cluster: Cluster, count: number): string[] {
  return Array.from({ length: count }, (_, index) => {
    const definition = upstream(`u${index + 1}`, { service: SERVICE.name });
    const answer = cluster.change({ type: 'upstream-apply', definition, expected: null });
    expect(answer).to.deep.include({ type: 'result' });
    return definition.id;
  });
}

function declared(cluster: Cluster): string[] {
  const answer = cluster.ask({ type: 'get-upstreams' });
  return answer.type === 'upstreams' ? answer.upstreams.map(({ definition }) => definition.id) : [];
}

function replace(cluster: Cluster, oldReplica: ReplicaId, newReplica: ReplicaId): OperatorResponse {
  const address = addressOf(newReplica);
  return cluster.ask({ type: 'replace-replica', oldReplica, newReplica, address });
}

/** Runs the cluster while the replica requests to join, as its daemon does. */
function runAsking(cluster: Cluster, id: ReplicaId, millis: number): void {
  for (let passed = 0; passed < millis; passed += ASK_MILLIS) {
    cluster.requestJoin(id);
    cluster.run(ASK_MILLIS);
  }
}

describe('replacement of a replica', () => {
  for (const snapshotEntries of [10_000, 5]) {
    it(`loses no data when a second replica is lost right after (snapshots each ${snapshotEntries})`, () => {
      const cluster = startCluster({ config: { snapshotEntries } });
      const ids = declare(cluster, 30);
      const lost = follower(cluster);
      lose(cluster, lost);
      cluster.addMember('m4');
      const answer = replace(cluster, lost, 'm4');
      expect(answer).to.deep.include({ type: 'membership', repaired: true });
      expect(membership(cluster).voters).to.include('m4').and.to.not.include(lost);
      cluster.kill(cluster.leader());
      cluster.runUntil(() => cluster.leader() !== undefined, 5000);
      expect(declared(cluster)).to.have.members(ids);
      expect(declare(cluster, 31)).to.have.length(31);
    });
  }

  it('adds a new replica to the others', () => {
    const cluster = startCluster({ members: 1 });
    declare(cluster, 3);
    for (const id of ['m2', 'm3']) {
      cluster.addMember(id);
      const answer = cluster.ask({ type: 'add-voter', replica: id, address: addressOf(id) });
      expect(answer).to.deep.include({ type: 'membership', repaired: true });
    }
    expect(membership(cluster).voters).to.have.members(['m1', 'm2', 'm3']);
    const again = cluster.ask({ type: 'add-voter', replica: 'm3', address: addressOf('m3') });
    expect(again).to.deep.include({ type: 'membership', repaired: true });
    cluster.kill(cluster.leader());
    cluster.runUntil(() => cluster.leader() !== undefined, 5000);
    expect(declared(cluster)).to.have.length(3);
  });

  it('completes when it is requested again, whenever its leader is lost', () => {
    for (let millis = 0; millis <= 80; millis += 8) {
      const cluster = startCluster({ members: 5, seed: millis });
      const ids = declare(cluster, 5);
      const lost = follower(cluster);
      lose(cluster, lost);
      cluster.addMember('m6');
      const address = addressOf('m6');
      cluster.request({ type: 'replace-replica', oldReplica: lost, newReplica: 'm6', address });
      cluster.run(millis);
      cluster.kill(cluster.leader());
      cluster.runUntil(() => cluster.leader() !== undefined, 5000);
      expect(replace(cluster, lost, 'm6'), `leader lost after ${millis} ms`).to.include({ repaired: true });
      expect(membership(cluster).outgoingVoters).to.deep.equal([]);
      expect(declared(cluster)).to.have.members(ids);
    }
  });

  it('is not disturbed by the replaced replica when it returns', () => {
    const cluster = startCluster();
    const away = follower(cluster);
    cluster.cut.add(away);
    cluster.addMember('m4');
    expect(replace(cluster, away, 'm4')).to.include({ repaired: true });
    const { term } = cluster.leader().core.status();
    cluster.cut.delete(away);
    cluster.run(10_000);
    expect(cluster.leader().core.status().term).to.equal(term);
    expect(cluster.leader().id).to.not.equal(away);
  });

  it('is superseded by another one while its new replica has not joined', () => {
    const cluster = startCluster();
    const lost = follower(cluster);
    lose(cluster, lost);
    const mistaken = {
      type: 'replace-replica',
      oldReplica: lost,
      newReplica: 'm9',
      address: addressOf('m9'),
    } as const;
    const first = cluster.request(mistaken);
    cluster.run(2000);
    expect(membership(cluster).learners).to.deep.equal(['m9']);
    cluster.addMember('m4');
    expect(replace(cluster, lost, 'm4')).to.include({ repaired: true });
    expect(cluster.answers.get(first)).to.include({ type: 'rejected' });
    expect(membership(cluster)).to.deep.include({ learners: [], outgoingVoters: [] });
    expect(membership(cluster).voters).to.include('m4').and.to.not.include(lost);
  });

  it('does not count as repaired while the new replica is silent', () => {
    const cluster = startCluster();
    const lost = follower(cluster);
    lose(cluster, lost);
    const request = {
      type: 'replace-replica',
      oldReplica: lost,
      newReplica: 'm4',
      address: addressOf('m4'),
    } as const;
    const operation = cluster.request(request);
    cluster.run(20_000);
    expect(cluster.answers.get(operation)).to.equal(undefined);
    expect(membership(cluster).voters).to.include(lost);
    cluster.addMember('m4');
    expect(cluster.awaitAnswer(operation)).to.include({ repaired: true });
  });
});

/**
 * Guards against a replaced voter that stays without a leader after its return. Two of five voters are cut off for six seconds, and
 * replaced by spares after two. By its own log, which ends where it was cut off, each is still a voter, so it doesn't request to join;
 * by the leader's log it is no member, so it gets no appends and no answers to its pre-votes. Ten seconds after its return in this
 * simulator, it was still a pre-candidate without a leader, and answered operators' changes with no known leader.
 */
describe('a voter that was replaced while it was cut off', () => {
  const SPARES = ['m6', 'm7'];

  /** Each member requests to join when its join watch reports it, as its daemon does. */
  class AskingCluster {
    readonly cluster = startCluster({ members: 5, config: { replaceAfterMillis: REPLACE_AFTER_MILLIS } });
    readonly #watches = new Map<ReplicaId, JoinWatch>();

    constructor() {
      for (const id of SPARES) {
        this.cluster.addMember(id);
      }
      this.run(5000);
    }

    run(millis: number): void {
      for (let passed = 0; passed < millis; passed += ASK_MILLIS) {
        for (const { id, core } of this.cluster.members.values()) {
          this.#look(id, core.status());
        }
        this.cluster.run(ASK_MILLIS);
      }
    }

    isAsking(id: ReplicaId): boolean {
      return this.#watches.get(id)?.shouldRequestJoin ?? false;
    }

    #look(id: ReplicaId, status: RaftStatus): void {
      const watch = this.#watches.get(id) ?? new JoinWatch();
      this.#watches.set(id, watch);
      watch.look(status);
      if (watch.shouldRequestJoin && !this.cluster.cut.has(id)) {
        this.cluster.requestJoin(id);
      }
    }
  }

  /** Cuts a follower off until a spare votes in its place, then reconnects it. */
  function replaceCutOffVoter(asking: AskingCluster): ReplicaId {
    const { cluster } = asking;
    const away = follower(cluster);
    cluster.cut.add(away);
    asking.run(6000);
    expect(membership(cluster).voters).to.not.include(away);
    cluster.cut.delete(away);
    return away;
  }

  it('follows the leader soon after its return, and redirects operators to it', () => {
    const asking = new AskingCluster();
    const away = replaceCutOffVoter(asking);
    asking.run(4000);
    const { cluster } = asking;
    const leader = cluster.leader().id;
    expect(cluster.members.get(away)?.core.status()).to.include({ leader, role: 'learner' });
    const answer = cluster.ask({ type: 'get-evacuations' }, cluster.members.get(away));
    expect(answer.type).to.equal('evacuations');
  });

  it('becomes a spare, which replaces the next lost voter', () => {
    const asking = new AskingCluster();
    const { cluster } = asking;
    const away = replaceCutOffVoter(asking);
    asking.run(4000);
    for (const spare of SPARES) {
      if (!membership(cluster).voters.includes(spare)) {
        lose(cluster, spare);
      }
    }
    const next = membership(cluster).voters.find((voter) => voter !== cluster.leader().id);
    lose(cluster, next as ReplicaId);
    asking.run(8000);
    expect(membership(cluster).voters).to.include(away);
  });

  it('does not disturb the leader on its return', () => {
    const asking = new AskingCluster();
    const { term } = asking.cluster.leader().core.status();
    replaceCutOffVoter(asking);
    asking.run(10_000);
    expect(asking.cluster.leader().core.status().term).to.equal(term);
  });

  it('does not make members join that have a leader, or that are starting', () => {
    const asking = new AskingCluster();
    const ids = [...asking.cluster.members.keys()];
    expect(ids.filter((id) => asking.isAsking(id))).to.deep.equal([]);
    const starting = new JoinWatch();
    const { members } = asking.cluster;
    const status = members.get('m1')?.core.status() as RaftStatus;
    starting.look({ ...status, leader: null });
    expect(starting.shouldRequestJoin).to.equal(false);
  });

  it('contacts the members in its log and in its settings, each once and never itself', () => {
    const { cluster } = new AskingCluster();
    const status = cluster.members.get('m1')?.core.status() as RaftStatus;
    const { addresses } = status.membership;
    const lostDisk = { ...status.membership, addresses: { ...addresses, m0: addressOf('m1') } };
    const settings = [addressOf('m2'), '127.0.0.1:99'];
    const asked = new JoinWatch().addresses(settings, { ...status, membership: lostDisk });
    const others = ['m2', 'm3', 'm4', 'm5', ...SPARES].map(addressOf);
    expect(asked).to.have.members([...others, '127.0.0.1:99']);
  });
});

describe('replacement by the leader itself', () => {
  const config = { replaceAfterMillis: REPLACE_AFTER_MILLIS };

  it('replaces a voter that was silent for long enough by a spare', () => {
    const cluster = startCluster({ config });
    const ids = declare(cluster, 10);
    cluster.addMember('m4');
    runAsking(cluster, 'm4', 3000);
    expect(membership(cluster).learners).to.deep.equal(['m4']);
    const lost = follower(cluster);
    lose(cluster, lost);
    cluster.run(REPLACE_AFTER_MILLIS - 500);
    expect(membership(cluster).voters).to.include(lost);
    cluster.run(1500);
    expect(membership(cluster).voters).to.include('m4').and.to.not.include(lost);
    cluster.kill(cluster.leader());
    cluster.runUntil(() => cluster.leader() !== undefined, 5000);
    expect(declared(cluster)).to.have.members(ids);
  });

  it('accepts a replica that requests to join after the loss, and repairs with it', () => {
    const cluster = startCluster({ config });
    const lost = follower(cluster);
    lose(cluster, lost);
    cluster.run(5000);
    cluster.addMember('m4');
    runAsking(cluster, 'm4', 3000);
    expect(membership(cluster).voters).to.include('m4').and.to.not.include(lost);
  });

  it('keeps voters that answer, and a silent one if there is no spare', () => {
    const cluster = startCluster({ config });
    const before = membership(cluster).voters;
    cluster.run(20_000);
    lose(cluster, follower(cluster));
    cluster.run(20_000);
    expect(membership(cluster).voters).to.deep.equal(before);
  });

  it('does nothing if disabled, but reports waiting replicas and silent voters', () => {
    const cluster = startCluster();
    cluster.addMember('m4');
    const lost = follower(cluster);
    lose(cluster, lost);
    runAsking(cluster, 'm4', 10_000);
    expect(membership(cluster).learners).to.deep.equal([]);
    const status = cluster.ask({ type: 'get-status' });
    expect(status).to.deep.include({ waitingReplicas: [{ replica: 'm4', address: addressOf('m4') }] });
    const silent = status.type === 'status' ? status.memberSilentMillis : {};
    expect(silent[lost]).to.be.above(9000);
    expect(Object.values(silent).filter((millis) => millis < 500)).to.have.length(1);
    cluster.run(6000);
    expect(cluster.ask({ type: 'get-status' })).to.deep.include({ waitingReplicas: [] });
  });
});
