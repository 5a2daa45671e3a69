/** Placement as executed by the control leader: batches, handovers, drains, losses, loads. */
import { expect } from 'chai';
import type { LoadReport } from '../../src/control/messages.js';
import { RandomSource } from '../../src/dev/virtual/random-source.js';
import type { ShardId } from '../../src/model/identifiers.js';
import type { ServiceDefinition } from '../../src/model/service.js';
import { Cluster, SERVICE, startCluster, upstream } from './cluster-harness.js';

const MANY: ServiceDefinition = {
  ...SERVICE,
  placement: { unavailability: 1, imbalance: 5, churn: 1 },
  movesPerMinute: 600,
  keyspaces: [{ name: 'sheets', kind: 'prefix', match: '', shards: 60 }],
};

function ownersOf(cluster: Cluster): Map<ShardId, string | null> {
  return new Map(cluster.shards().map(({ shard, owner }) => [shard, owner]));
}

function countsOf(cluster: Cluster): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const owner of ownersOf(cluster).values()) {
    counts[owner ?? 'none'] = (counts[owner ?? 'none'] ?? 0) + 1;
  }
  return counts;
}

/** Runs the cluster for `millis` and returns the sum over all shards of the milliseconds without a server. */
function unservedMillis(cluster: Cluster, shards: readonly ShardId[], millis: number): number {
  let unserved = 0;
  for (let passed = 0; passed < millis; passed += 1) {
    cluster.run(1);
    unserved += shards.filter((shard) => cluster.serving(shard) === null).length;
  }
  return unserved;
}

function reportOf(works: Record<ShardId, number>): LoadReport {
  const shards = Object.entries(works).map(([shard, workMillis]) => ({ shard, workMillis, requests: 1 }));
  return { type: 'load-report', intervalMillis: 1000, shards };
}

describe('placement by the control leader', () => {
  it('grants many shards with few log entries', () => {
    const { cluster, shards } = startCluster(4, { service: MANY });
    expect(shards).to.have.length(60);
    expect(countsOf(cluster)).to.deep.equal({ u1: 15, u2: 15, u3: 15, u4: 15 });
    const epochs = new Set(cluster.shards().map(({ epoch }) => epoch));
    expect(epochs.size).to.equal(1);
  });

  it('grants shards to all servers that start together, also if none was running when they were declared', () => {
    const cluster = new Cluster();
    cluster.runUntil(() => cluster.leader() !== undefined, 5000);
    cluster.change({ type: 'service-apply', definition: MANY, expected: null });
    for (const id of ['u1', 'u2']) {
      cluster.addServer(id).state = 'dead';
      cluster.change({ type: 'upstream-apply', definition: upstream(id), expected: null });
    }
    cluster.run(3000);
    cluster.server('u1').state = 'up';
    cluster.run(150);
    cluster.server('u2').state = 'up';
    cluster.runUntil(() => cluster.shards().length === 60, 5000);
    expect(countsOf(cluster)).to.deep.equal({ u1: 30, u2: 30 });
  });

  it("spreads a lost server's shards over all others", () => {
    const { cluster, shards } = startCluster(4, { service: MANY });
    cluster.server('u1').state = 'dead';
    cluster.runUntil(() => shards.every((shard) => cluster.serving(shard) !== null), 5000);
    expect(countsOf(cluster)).to.deep.equal({ u2: 20, u3: 20, u4: 20 });
  });

  it('drains a server by handovers without waiting for the move budget', () => {
    const { cluster, shards } = startCluster(4, { service: { ...MANY, movesPerMinute: 0 } });
    cluster.change({
      type: 'upstream-apply',
      definition: upstream('u1', { leaving: true }),
      expected: null,
    });
    const unserved = unservedMillis(cluster, shards, 3000);
    expect(countsOf(cluster)).to.deep.equal({ u2: 20, u3: 20, u4: 20 });
    // Fifteen handovers: revoke, answer, one commit, grant, at 1 ms of virtual time for each message and sync.
    expect(unserved).to.be.at.most(15 * 8);
  });

  it('hands over a drained shard cold if its target does not warm in time', () => {
    const { cluster, shards } = startCluster(3, { service: MANY });
    cluster.server('u2').warmsImmediately = false;
    cluster.server('u3').warmsImmediately = false;
    cluster.change({
      type: 'upstream-apply',
      definition: upstream('u1', { leaving: true }),
      expected: null,
    });
    cluster.runUntil(() => shards.every((shard) => !['u1', null].includes(cluster.serving(shard))), 5000);
    expect(countsOf(cluster)).to.deep.equal({ u2: 30, u3: 30 });
  });

  it('moves shards off the owner of a hot shard by the loads that routers report', () => {
    const { cluster, shards } = startCluster(4, { service: MANY });
    const hot = shards[0] as ShardId;
    const owner = cluster.serving(hot) as string;
    const even = Object.fromEntries(shards.map((shard) => [shard, 20]));
    for (let second = 0; second < 30; second += 1) {
      cluster.routerMessage('r1', reportOf({ ...even, [hot]: 1200 }));
      cluster.run(1000);
    }
    const counts = countsOf(cluster);
    expect(cluster.serving(hot)).to.equal(owner);
    expect(counts[owner]).to.be.at.most(4);
    expect(Object.values(counts).reduce((sum, count) => sum + count, 0)).to.equal(60);
  });

  it('leaves balanced shards where they are', () => {
    const { cluster, shards } = startCluster(4, { service: MANY });
    const before = ownersOf(cluster);
    const even = Object.fromEntries(shards.map((shard) => [shard, 20]));
    for (let second = 0; second < 30; second += 1) {
      cluster.routerMessage('r1', reportOf(even));
      cluster.run(1000);
    }
    expect(ownersOf(cluster)).to.deep.equal(before);
  });

  it('moves shards to a server that joins, within the move budget', () => {
    const { cluster } = startCluster(3, { service: { ...MANY, movesPerMinute: 6 } });
    cluster.addServer('u4');
    cluster.change({ type: 'upstream-apply', definition: upstream('u4'), expected: null });
    cluster.run(30_000);
    expect(countsOf(cluster).u4).to.equal(6);
    cluster.run(60_000);
    expect(countsOf(cluster).u4).to.equal(12);
  });

  it('moves every shard to the new key map of a service', () => {
    const { cluster } = startCluster(3, { service: MANY });
    const keyspaces = [{ name: 'sheets', kind: 'prefix' as const, match: '', shards: 90 }];
    cluster.change({ type: 'service-apply', definition: { ...MANY, keyspaces }, expected: null });
    cluster.run(3000);
    expect(countsOf(cluster)).to.deep.equal({ u1: 30, u2: 30, u3: 30 });
  });

  it('keeps shards with their owners when the leader changes during a drain', () => {
    const { cluster, shards } = startCluster(4, { service: MANY });
    cluster.change({
      type: 'upstream-apply',
      definition: upstream('u1', { leaving: true }),
      expected: null,
    });
    cluster.run(8);
    cluster.kill(cluster.leader());
    cluster.runUntil(() => shards.every((shard) => !['u1', null].includes(cluster.serving(shard))), 6000);
    expect(countsOf(cluster)).to.deep.equal({ u2: 20, u3: 20, u4: 20 });
  });
});

/** Disturbances of the cluster while shards are moving. */
const DISTURBANCES: readonly ((cluster: Cluster, id: string, random: RandomSource) => void)[] = [
  (cluster, id) => change(cluster, id, true),
  (cluster, id) => change(cluster, id, false),
  (cluster, id) => {
    cluster.server(id).state = 'frozen';
    cluster.run(700);
    thaw(cluster, id);
  },
  (cluster, id) => {
    cluster.server(id).state = 'frozen';
    cluster.run(2500);
    thaw(cluster, id);
  },
  (cluster, id) => cluster.server(id).restart(),
  (cluster) => {
    const leader = cluster.leader();
    cluster.cut.add(leader.id);
    cluster.run(1500);
    cluster.cut.delete(leader.id);
  },
  (cluster, _id, random) => {
    const shards = cluster.shards().map(({ shard }) => shard);
    const loads = shards.map((shard) => [shard, random.below(1000)] as const);
    cluster.routerMessage('r1', reportOf(Object.fromEntries(loads)));
  },
];

function change(cluster: Cluster, id: string, leaving: boolean): void {
  const definition = upstream(id, { leaving });
  const requestId = `change ${id} at ${cluster.time}`;
  const command = { type: 'upstream-apply' as const, definition, expected: null };
  cluster.request({ type: 'command', requestId, actor: 'test', command, wait: false });
}

function thaw(cluster: Cluster, id: string): void {
  const server = cluster.server(id);
  server.state = 'up';
  for (const serve of server.backlog.splice(0)) {
    serve();
  }
}

describe('ownership while shards are moving', () => {
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    // The harness checks the fence of every server for every shard, every 5 ms.
    it(`is never held by two servers, and is held by one at the end (seed ${seed})`, () => {
      const random = new RandomSource(seed);
      const { cluster, shards } = startCluster(4, { service: { ...MANY, movesPerMinute: 6000 }, seed });
      const servers = [...cluster.servers.keys()];
      for (let round = 0; round < 12; round += 1) {
        random.pick(DISTURBANCES)(cluster, random.pick(servers), random);
        cluster.run(random.below(1500));
        cluster.runUntil(() => cluster.leader() !== undefined, 5000);
      }
      for (const id of servers) {
        change(cluster, id, false);
        cluster.run(50);
      }
      cluster.runUntil(() => shards.every((shard) => cluster.serving(shard) !== null), 10_000);
      expect(shards.filter((shard) => cluster.serving(shard) === null)).to.deep.equal([]);
    });
  }
});
