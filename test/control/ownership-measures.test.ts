/** Counts of owner changes and of unowned time, from records and from a whole cluster. */
import { expect } from 'chai';
import { OwnershipMeasures } from '../../src/control/ownership-measures.js';
import { SHARDS_PER_RUN } from '../../src/control/registry-scan.js';
import type { ServiceMeasures } from '../../src/control/service-measures.js';
import { CoordinatorRig } from '../../src/dev/bench/models/placement/coordinator-rig.js';
import type { ServiceDefinition } from '../../src/model/service.js';
import type { ShardRecord } from '../../src/registry/types.js';
import { type Cluster, SERVICE, startCluster, upstream } from './cluster-harness.js';

const MINUTE = 60_000;

function record(change: Partial<ShardRecord> = {}): ShardRecord {
  return { shard: 's', owner: 'u1', incarnation: 'u1#1', epoch: 1, movingTo: null, revision: 1, ...change };
}

const VACANT = record({ owner: null, incarnation: null });
const GRANTED = record({ owner: 'u2', incarnation: 'u2#1', epoch: 9 });

/** Returns measures started with shards that all have owners. */
function startedMeasures(): OwnershipMeasures {
  const measures = new OwnershipMeasures();
  measures.begin(0);
  return measures;
}

describe('ownership measures', () => {
  it('count a lost shard from the end of its session to the next grant', () => {
    const measures = startedMeasures();
    measures.applyRecord(VACANT, 1000);
    expect(measures.counts(1400).unownedShardMillis).to.equal(400);
    measures.applyRecord(GRANTED, 1500);
    const counts = measures.counts(9000);
    expect(counts.unownedShardMillis).to.equal(500);
    expect(counts.ownerChanges).to.include({ lost: 1, balance: 0, 'first-grant': 0 });
    expect(counts.handovers).to.equal(0);
  });

  it("count a handover from the holder's answer, under the reason of its move", () => {
    const measures = startedMeasures();
    measures.recordMoveStart('s', 'u2', 'balance');
    measures.applyRecord(record({ movingTo: 'u2' }), 1000);
    measures.recordRelease('s', 1, 2000);
    measures.recordRelease('s', 1, 2002);
    measures.applyRecord({ ...VACANT, movingTo: 'u2' }, 2005);
    measures.applyRecord(GRANTED, 2007);
    const counts = measures.counts(3000);
    expect(counts.ownerChanges).to.include({ balance: 1, lost: 0 });
    expect(counts).to.include({ handovers: 1, handoverGapMillis: 7, unownedShardMillis: 7 });
  });

  it('count a move that the leader did not plan as an operator’s, also if it replaces a planned move', () => {
    const measures = startedMeasures();
    measures.recordMoveStart('s', 'u2', 'balance');
    measures.applyRecord(record({ movingTo: 'u2' }), 1000);
    measures.applyRecord(record({ movingTo: 'u3' }), 1100);
    measures.recordRelease('s', 1, 2000);
    measures.applyRecord({ ...VACANT, movingTo: 'u3' }, 2000);
    measures.applyRecord(GRANTED, 2000);
    expect(measures.counts(2000).ownerChanges).to.include({ operator: 1, balance: 0 });
  });

  it('count a move whose source was lost as lost, and forget a cancelled move', () => {
    const measures = startedMeasures();
    measures.applyRecord(record({ movingTo: 'u2' }), 1000);
    measures.applyRecord({ ...VACANT, movingTo: 'u2' }, 1100);
    measures.applyRecord(GRANTED, 1200);
    measures.applyRecord({ ...GRANTED, movingTo: 'u1' }, 1300);
    measures.applyRecord(GRANTED, 1400);
    measures.recordRelease('s', 9, 1500);
    measures.applyRecord({ ...GRANTED, owner: null }, 1500);
    measures.applyRecord(record({ epoch: 12 }), 1600);
    expect(measures.counts(2000).ownerChanges).to.include({ lost: 1, operator: 0, other: 1 });
  });

  it('distinguish first grants from shards that were unowned under an earlier leader', () => {
    const measures = new OwnershipMeasures();
    measures.begin(100);
    measures.addUnowned(record({ shard: 'new', owner: null, epoch: 0 }));
    measures.addUnowned(record({ shard: 'old', owner: null }));
    measures.addUnowned(record({ shard: 'moving', owner: null, movingTo: 'u2' }));
    for (const shard of ['new', 'old', 'moving']) {
      measures.applyRecord({ ...GRANTED, shard }, 200);
    }
    const counts = measures.counts(200);
    expect(counts.ownerChanges).to.include({ 'first-grant': 1, lost: 1, other: 1 });
    expect(counts).to.include({ unownedShardMillis: 300, ownerChangesLastMinute: 2 });
  });

  it('keep the counts when the key map changes', () => {
    const measures = startedMeasures();
    measures.applyRecord(VACANT, 1000);
    measures.begin(1500);
    measures.addUnowned(record({ shard: 't', owner: null, epoch: 0 }));
    expect(measures.counts(2000).unownedShardMillis).to.equal(500 + 500);
  });

  it('count a shard that is lost before it is added as lost at that time', () => {
    const measures = new OwnershipMeasures();
    measures.begin(100);
    measures.applyRecord(VACANT, 1000);
    measures.addUnowned(VACANT);
    expect(measures.counts(1400).unownedShardMillis).to.equal(400);
    measures.applyRecord(GRANTED, 1500);
    expect(measures.counts(1500)).to.deep.include({ unownedShardMillis: 500, ownerChangesLastMinute: 1 });
  });

  it('never decrease with fractional clock times, since a decrease looks like a counter reset', () => {
    const measures = startedMeasures();
    let before = 0;
    for (let step = 1; step <= 2000; step += 1) {
      const shard = `s${step % 7}`;
      const now = 1e6 + Math.floor(step / 10) * 0.1;
      measures.applyRecord({ ...(step % 3 === 0 ? GRANTED : VACANT), shard }, now);
      const { unownedShardMillis } = measures.counts(now);
      expect(unownedShardMillis).to.be.at.least(before);
      before = unownedShardMillis;
    }
  });

  it('drop changes older than a minute from the count of the last minute only', () => {
    const measures = startedMeasures();
    measures.applyRecord(VACANT, 1000);
    measures.applyRecord(GRANTED, 1000);
    expect(measures.counts(MINUTE).ownerChangesLastMinute).to.equal(1);
    expect(measures.counts(MINUTE + 1000).ownerChangesLastMinute).to.equal(0);
    expect(measures.counts(10 * MINUTE).ownerChanges.lost).to.equal(1);
  });
});

function measuresOf(cluster: Cluster): ServiceMeasures {
  const status = cluster.ask({ type: 'get-status' });
  const services = status.type === 'status' ? status.services : [];
  expect(services.map(({ service }) => service)).to.deep.equal([SERVICE.name]);
  return services[0] as ServiceMeasures;
}

describe('service measures on the leader', () => {
  it('cover first grants, a drain, an operator’s move and a lost upstream', () => {
    const { cluster, shards } = startCluster(3);
    const isServed = () => shards.every((shard) => cluster.serving(shard) !== null);
    expect(measuresOf(cluster)).to.include({ ownedShards: 6, unownedShards: 0, handovers: 0 });
    expect(measuresOf(cluster).ownerChanges).to.include({ 'first-grant': 6, lost: 0, drain: 0 });
    const before = measuresOf(cluster).unownedShardMillis;

    const [first] = cluster.shards();
    const to = first?.owner === 'u1' ? 'u2' : 'u1';
    cluster.change({ type: 'shard-move', shard: first?.shard ?? '', to, expected: null });
    cluster.runUntil(() => cluster.serving(first?.shard ?? '') === to, 3000);
    const moved = measuresOf(cluster);
    expect(moved.ownerChanges).to.include({ operator: 1, drain: 0, lost: 0 });
    expect(moved.handovers).to.equal(1);
    expect(moved.handoverGapMillis).to.be.within(1, 20);
    expect(moved.unownedShardMillis - before).to.equal(moved.handoverGapMillis);

    const drained = cluster.shards().filter(({ owner }) => owner === 'u3').length;
    const definition = upstream('u3', { leaving: true });
    cluster.change({ type: 'upstream-apply', definition, expected: null });
    cluster.run(3000);
    expect(measuresOf(cluster).ownerChanges).to.include({ drain: drained, operator: 1, lost: 0 });

    const lost = cluster.shards().filter(({ owner }) => owner === 'u2').length;
    cluster.server('u2').state = 'dead';
    cluster.run(10);
    cluster.runUntil(isServed, 5000);
    const after = measuresOf(cluster);
    expect(after.ownerChanges).to.include({ 'first-grant': 6, drain: drained, operator: 1, lost });
    expect(after).to.include({ handovers: drained + 1, ownerChangesLastMinute: drained + 1 + lost });
    expect(after.unownedShardMillis).to.be.greaterThan(moved.unownedShardMillis);
  });

  it('count moves for balance, each with its gap', () => {
    const { cluster } = startCluster(3, { service: { ...SERVICE, movesPerMinute: 6 } });
    cluster.addServer('u4');
    cluster.change({ type: 'upstream-apply', definition: upstream('u4'), expected: null });
    cluster.run(30_000);
    const owned = cluster.shards().filter(({ owner }) => owner === 'u4').length;
    expect(owned).to.be.greaterThan(0);
    const measures = measuresOf(cluster);
    expect(measures.ownerChanges).to.include({ balance: owned, drain: 0, operator: 0, lost: 0, other: 0 });
    expect(measures.handovers).to.equal(owned);
  });

  it('count a move that a lost leader began as other', () => {
    const { cluster, shards } = startCluster(3);
    cluster.server('u2').warmsImmediately = false;
    cluster.server('u3').warmsImmediately = false;
    const drained = cluster.shards().filter(({ owner }) => owner === 'u1').length;
    const definition = upstream('u1', { leaving: true });
    cluster.change({ type: 'upstream-apply', definition, expected: null });
    cluster.run(100);
    cluster.kill(cluster.leader());
    cluster.runUntil(() => cluster.leader() !== undefined, 5000);
    cluster.runUntil(() => shards.every((shard) => !['u1', null].includes(cluster.serving(shard))), 6000);
    expect(measuresOf(cluster).ownerChanges).to.include({ other: drained, drain: 0, operator: 0, lost: 0 });
  });

  it('start with the current leadership, and exist only on the leader', () => {
    const { cluster } = startCluster(2);
    const old = cluster.leader();
    cluster.cut.add(old.id);
    cluster.runUntil(() => cluster.leader() !== undefined, 5000);
    cluster.run(3000);
    const measures = measuresOf(cluster);
    expect(Object.values(measures.ownerChanges).every((count) => count === 0)).to.equal(true);
    expect(measures).to.include({ ownedShards: 6, unownedShards: 0, unownedShardMillis: 0 });
    const follower = [...cluster.members.values()].find(({ core }) => core.status().role !== 'leader');
    const status = cluster.ask({ type: 'get-status' }, follower);
    expect(status).to.deep.include({ services: [] });
  });

  it('report the imbalance of the loads that routers report', () => {
    const { cluster, shards } = startCluster(2, { service: { ...SERVICE, movesPerMinute: 0 } });
    expect(measuresOf(cluster)).to.include({ imbalance: null, imbalanceOverBound: null });
    const owners = new Map(cluster.shards().map(({ shard, owner }) => [shard, owner]));
    const works = shards.map((shard) => ({
      shard,
      workMillis: owners.get(shard) === 'u1' ? 300 : 100,
      requests: 1,
    }));
    const report = () =>
      cluster.routerMessage('r1', { type: 'load-report', intervalMillis: 1000, shards: works });
    for (let second = 0; second < 3; second += 1) {
      report();
      cluster.run(1000);
    }
    const measures = measuresOf(cluster);
    expect(measures.imbalance).to.be.closeTo(1.5, 1e-9);
    expect(measures.imbalanceOverBound).to.be.closeTo(1.5, 1e-9);
    cluster.run(30_000);
    expect(measuresOf(cluster)).to.include({ imbalance: null, imbalancedSinceMillis: null });
  });
});

describe('measures of more shards than one run processes', () => {
  const SHARDS = 2 * SHARDS_PER_RUN + 500;
  const keyspaces = [{ name: 'all', kind: 'prefix' as const, match: '', shards: SHARDS }];

  function startedRig(): CoordinatorRig {
    const rig = new CoordinatorRig();
    rig.declareService({ ...SERVICE, keyspaces });
    for (const id of ['u1', 'u2', 'u3', 'u4', 'u5']) {
      rig.addServer(upstream(id));
    }
    rig.changeLeader();
    rig.runUntil(() => rig.unowned(SERVICE.name) === 0);
    return rig;
  }

  it('count each first grant and each loss once, also under a new key map', () => {
    const rig = startedRig();
    rig.runUntil(() => rig.measures()[0]?.ownerChanges['first-grant'] === SHARDS);
    const lost = rig.registry.shardsOwnedBy('u1').size + rig.registry.shardsOwnedBy('u2').size;
    rig.loseAndPlace(['u1', 'u2']);
    rig.runUntil(() => rig.unowned(SERVICE.name) === 0);
    rig.runUntil(() => rig.measures()[0]?.ownerChanges.lost === lost);
    const more = [{ ...keyspaces[0], shards: SHARDS + 10 }] as ServiceDefinition['keyspaces'];
    rig.declareService({ ...SERVICE, keyspaces: more });
    rig.runUntil(() => rig.unowned(SERVICE.name) === 0);
    rig.runUntil(() => rig.measures()[0]?.ownerChanges['first-grant'] === 2 * SHARDS + 10);
    const [measures] = rig.measures();
    expect(measures).to.include({ ownedShards: SHARDS + 10, unownedShards: 0, handovers: 0 });
    expect(measures?.ownerChanges).to.include({ lost, balance: 0, drain: 0, operator: 0, other: 0 });
  });
});
