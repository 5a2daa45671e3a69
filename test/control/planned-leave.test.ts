/** A replica that stops as planned: a spare votes in its place before it is gone, and it becomes a spare when it comes back. */
import { expect } from 'chai';
import { allVoters, hasQuorum } from '../../src/consensus/membership.js';
import type { Membership } from '../../src/consensus/types.js';
import { JoinWatch } from '../../src/control/join-watch.js';
import { VOTE_RELEASE_MILLIS } from '../../src/control/vote-releases.js';
import type { ReplicaId } from '../../src/model/identifiers.js';
import { Cluster, SERVICE, upstream } from './cluster-harness.js';

const REPLACE_AFTER_MILLIS = 2000;
const ASK_MILLIS = 1000;
const SETTLED_MILLIS = 3000;
/** A change of voters takes some messages and writes of 1 ms each. */
const CHANGE_MILLIS = 50;
const HANGING_SYNC_MILLIS = 1500;
const SLOW_SYNC_MILLIS = 600;
const LOOK_MILLIS = 5;

/** Three voters and spares, each of which requests to join when its join watch reports it, as its daemon does. */
class StoppingCluster {
  readonly cluster: Cluster;
  readonly #watches = new Map<ReplicaId, JoinWatch>();

  constructor(spares: readonly ReplicaId[], replaceAfterMillis = REPLACE_AFTER_MILLIS) {
    this.cluster = new Cluster({ config: { replaceAfterMillis } });
    this.cluster.runUntil(() => this.cluster.leader() !== undefined, SETTLED_MILLIS);
    const definition = { ...SERVICE, keyed: false, keyspaces: [] };
    this.cluster.change({ type: 'service-apply', definition, expected: null });
    for (const id of spares) {
      this.cluster.addMember(id);
    }
    this.run(SETTLED_MILLIS);
  }

  get membership(): Membership {
    return this.cluster.leader().core.status().membership;
  }

  get followers(): ReplicaId[] {
    return this.membership.voters.filter((id) => id !== this.cluster.leader().id);
  }

  run(millis: number): void {
    for (let passed = 0; passed < millis; passed += ASK_MILLIS) {
      for (const { id, core, alive } of this.cluster.members.values()) {
        if (alive) {
          this.#look(id, core.status());
        }
      }
      for (let looked = 0; looked < ASK_MILLIS; looked += LOOK_MILLIS) {
        this.cluster.run(LOOK_MILLIS);
        this.expectMajority();
      }
    }
  }

  /** Sends the request of a replica that stops; returns the type of the answer and the time that it took. */
  release(replica: ReplicaId): { type: string; millis: number } {
    const startedAt = this.cluster.time;
    const { type } = this.cluster.ask({ type: 'release-vote', replica });
    return { type, millis: this.cluster.time - startedAt };
  }

  stop(replica: ReplicaId): void {
    const member = this.cluster.members.get(replica);
    if (member !== undefined) {
      this.cluster.kill(member);
    }
    this.#watches.delete(replica);
  }

  /** Every live voter's membership must have a majority of live voters. */
  expectMajority(): void {
    const { members } = this.cluster;
    for (const { id, alive, core } of members.values()) {
      const { membership, role } = core.status();
      if (alive && role === 'leader') {
        const isLive = (replica: ReplicaId): boolean => members.get(replica)?.alive === true;
        expect(hasQuorum(membership, isLive), `${id}: ${allVoters(membership)}`).to.equal(true);
      }
    }
  }

  expectChange(): void {
    this.cluster.runUntil(() => this.cluster.leader() !== undefined, SETTLED_MILLIS);
    const definition = upstream('u1', { service: SERVICE.name });
    const answer = this.cluster.change({ type: 'upstream-apply', definition, expected: null });
    expect(answer).to.deep.include({ type: 'result' });
  }

  #look(id: ReplicaId, status: Parameters<JoinWatch['look']>[0]): void {
    const watch = this.#watches.get(id) ?? new JoinWatch();
    this.#watches.set(id, watch);
    watch.look(status);
    if (watch.shouldRequestJoin) {
      this.cluster.requestJoin(id);
    }
  }
}

describe('a replica that stops as planned', () => {
  it('has a spare vote in its place at once, so that the next loss leaves a majority', () => {
    const stopping = new StoppingCluster(['m4']);
    const [old = '', next = ''] = stopping.followers;
    const { type, millis } = stopping.release(old);
    expect(type).to.equal('done');
    expect(millis).to.be.below(CHANGE_MILLIS);
    expect(stopping.membership.voters).to.include('m4').and.to.not.include(old);
    stopping.stop(old);
    stopping.stop(next);
    stopping.expectChange();
  });

  it('leaves a majority also if the leader is lost as soon as it was answered', () => {
    const stopping = new StoppingCluster(['m4']);
    const [old = ''] = stopping.followers;
    expect(stopping.release(old).type).to.equal('done');
    stopping.stop(old);
    stopping.stop(stopping.cluster.leader().id);
    stopping.expectChange();
  });

  it('does not wait if there is no spare, if it is silent, or if repairs are off', () => {
    const without = new StoppingCluster([]);
    expect(without.release(without.followers[0] ?? '')).to.deep.equal({ type: 'rejected', millis: 0 });
    const silent = new StoppingCluster(['m4']);
    silent.stop('m4');
    silent.run(SETTLED_MILLIS);
    expect(silent.release(silent.followers[0] ?? '')).to.deep.equal({ type: 'rejected', millis: 0 });
    const off = new StoppingCluster(['m4'], 0);
    expect(off.release(off.followers[0] ?? '')).to.deep.equal({ type: 'rejected', millis: 0 });
  });

  it('waits a bounded time for a spare that is not caught up, which votes as soon as it is', () => {
    const stopping = new StoppingCluster([]);
    const { cluster } = stopping;
    const [old = '', next = ''] = stopping.followers;
    cluster.addMember('m4');
    cluster.syncMillis.set('m4', SLOW_SYNC_MILLIS);
    cluster.requestJoin('m4');
    cluster.run(CHANGE_MILLIS);
    expect(stopping.membership.learners).to.deep.equal(['m4']);
    expect(stopping.release(old)).to.deep.equal({ type: 'rejected', millis: VOTE_RELEASE_MILLIS });
    stopping.stop(old);
    const silentMillis = cluster.runUntil(
      () => stopping.membership.voters.includes('m4'),
      REPLACE_AFTER_MILLIS,
    );
    expect(silentMillis).to.be.below(HANGING_SYNC_MILLIS);
    cluster.syncMillis.delete('m4');
    cluster.run(HANGING_SYNC_MILLIS);
    expect(stopping.membership).to.deep.include({ outgoingVoters: [] });
    expect(stopping.membership.voters).to.include('m4').and.to.not.include(old);
    stopping.stop(next);
    stopping.expectChange();
  });

  it('gets no vote of another one that stops', () => {
    const stopping = new StoppingCluster(['m4']);
    const [old = ''] = stopping.followers;
    expect(stopping.release('m4').type).to.equal('done');
    expect(stopping.release(old)).to.deep.equal({ type: 'rejected', millis: 0 });
    expect(stopping.membership.voters).to.include(old);
  });

  it('keeps its vote if the only spare has that of another one that stops', () => {
    const stopping = new StoppingCluster(['m4']);
    const { cluster } = stopping;
    const operations = stopping.followers.map((replica) =>
      cluster.request({ type: 'release-vote', replica }),
    );
    const types = operations.map((operation) => cluster.awaitAnswer(operation).type);
    expect(types).to.have.members(['done', 'rejected']);
    expect(stopping.membership.voters).to.have.length(3);
  });

  it('is told to ask the next leader', () => {
    const stopping = new StoppingCluster(['m4']);
    const { cluster } = stopping;
    const leader = cluster.leader();
    const [old = ''] = stopping.followers;
    expect(cluster.ask({ type: 'release-vote', replica: leader.id }).type).to.equal('rejected');
    cluster.syncMillis.set('m4', HANGING_SYNC_MILLIS);
    cluster.change({ type: 'upstream-apply', definition: upstream('u1'), expected: null });
    cluster.run(400);
    const operation = cluster.request({ type: 'release-vote', replica: old }, leader);
    cluster.request({ type: 'transfer-leadership', to: null }, leader);
    expect(cluster.awaitAnswer(operation).type).to.equal('not-leader');
    expect(cluster.ask({ type: 'release-vote', replica: old }, cluster.members.get('m4')).type).to.equal(
      'not-leader',
    );
  });

  it('becomes a spare when it comes back with its disk, and votes again; a majority lives all the time', () => {
    const stopping = new StoppingCluster(['m4']);
    const { cluster } = stopping;
    for (let round = 0; round < 4; round += 1) {
      const [old = ''] = stopping.followers;
      const spare = stopping.membership.learners[0] as ReplicaId;
      expect(stopping.release(old).type).to.equal('done');
      stopping.stop(old);
      stopping.expectMajority();
      stopping.run(ASK_MILLIS);
      cluster.restart(old);
      stopping.run(4 * ASK_MILLIS);
      expect(stopping.membership.voters).to.include(spare).and.to.not.include(old);
      expect(stopping.membership.learners).to.deep.equal([old]);
      expect(cluster.members.get(old)?.core.status()).to.include({
        role: 'learner',
        leader: cluster.leader().id,
      });
    }
  });
});
