import { expect } from 'chai';
import type { ShardId, UpstreamId } from '../../src/model/identifiers.js';
import { type Cluster, startCluster, upstream } from './cluster-harness.js';

/** Bound on the time from a loss to a new owner. */
const NEW_OWNER_MILLIS = 3000;

function shardsOf(cluster: Cluster, shards: readonly ShardId[], owner: UpstreamId): ShardId[] {
  return shards.filter((shard) => cluster.serving(shard) === owner);
}

function allServed(cluster: Cluster, shards: readonly ShardId[]): boolean {
  return shards.every((shard) => cluster.serving(shard) !== null);
}

describe('ownership of shards', () => {
  it('grants every shard, spread evenly', () => {
    const { cluster, shards } = startCluster(3);
    expect(shards).to.have.length(6);
    for (const id of ['u1', 'u2', 'u3']) {
      expect(shardsOf(cluster, shards, id), id).to.have.length(2);
    }
  });

  it('renews leases while nothing fails', () => {
    const { cluster, shards } = startCluster(3);
    const idle = cluster.runUntil(() => !allServed(cluster, shards), 20_000);
    expect(idle).to.equal(20_000);
  });

  for (const seed of [1, 2, 3, 4, 5]) {
    it(`grants a killed owner's shards to others within the bound when the leader is killed too (seed ${seed})`, () => {
      const { cluster, shards } = startCluster(3, { seed });
      cluster.run(1000 + 130 * seed);
      const lost = shardsOf(cluster, shards, 'u1');
      cluster.server('u1').state = 'dead';
      cluster.kill(cluster.leader());
      const elapsed = cluster.runUntil(() => allServed(cluster, lost), 10_000);
      expect(lost).to.have.length(2);
      expect(elapsed).to.be.below(NEW_OWNER_MILLIS);
      expect(allServed(cluster, shards)).to.equal(true);
    });
  }

  it('keeps shards with their owners when only the leader is lost', () => {
    const { cluster, shards } = startCluster(3);
    const before = cluster.shards();
    cluster.kill(cluster.leader());
    const served = cluster.runUntil(() => !allServed(cluster, shards), 5000);
    expect(served).to.equal(5000);
    expect(cluster.shards()).to.deep.equal(before);
  });

  it('rejects the effects of a server that froze, lost its shards and resumed', () => {
    const { cluster, shards } = startCluster(3);
    const frozen = cluster.server('u1');
    const [shard] = shardsOf(cluster, shards, 'u1') as [ShardId];
    const ticket = frozen.admit(shard, cluster.keyOf(shard), cluster.time);
    frozen.state = 'frozen';
    cluster.runUntil(() => allServed(cluster, shards), 10_000);
    expect(cluster.serving(shard)).not.to.equal('u1');
    expect(frozen.admit(shard, cluster.keyOf(shard), cluster.time)).to.equal(null);
    frozen.state = 'up';
    for (const serve of frozen.backlog.splice(0)) {
      serve();
    }
    expect(ticket && frozen.holder.confirmEffect(ticket, frozen.clock(cluster.time))).to.equal(false);
    cluster.run(5000);
    expect(frozen.holder.status(frozen.clock(cluster.time)).leased).to.equal(true);
    expect(ticket && frozen.holder.confirmEffect(ticket, frozen.clock(cluster.time))).to.equal(false);
  });

  it('waits for the lease of a restarted server before its shards are granted again', () => {
    const { cluster, shards } = startCluster(2);
    const lost = shardsOf(cluster, shards, 'u1');
    cluster.server('u1').restart();
    const elapsed = cluster.runUntil(() => allServed(cluster, lost), 10_000);
    expect(elapsed).to.be.below(NEW_OWNER_MILLIS);
    const records = cluster.shards().filter(({ shard }) => lost.includes(shard));
    expect(records.every(({ incarnation }) => incarnation !== 'u1#1')).to.equal(true);
  });

  it('moves shards off a draining server after its running requests finish', () => {
    const { cluster, shards } = startCluster(3);
    const leaving = cluster.server('u1');
    const [shard] = shardsOf(cluster, shards, 'u1') as [ShardId];
    const ticket = leaving.admit(shard, cluster.keyOf(shard), cluster.time);
    cluster.change({
      type: 'upstream-apply',
      definition: upstream('u1', { leaving: true }),
      expected: null,
    });
    cluster.runUntil(() => leaving.admit(shard, cluster.keyOf(shard), cluster.time) === null, 3000);
    cluster.run(1000);
    expect(cluster.serving(shard), 'while a request is under way').to.equal(null);
    expect(ticket && leaving.holder.confirmEffect(ticket, leaving.clock(cluster.time))).to.equal(true);
    if (ticket !== null) {
      leaving.holder.finish(ticket, leaving.clock(cluster.time));
    }
  });
});
