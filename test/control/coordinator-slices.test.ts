/** Coordination of more shards than one run handles: all shards are granted, and a new leader voids no grant. */
import { expect } from 'chai';
import { SHARDS_PER_RUN } from '../../src/control/registry-scan.js';
import { CoordinatorRig } from '../../src/dev/bench/models/placement/coordinator-rig.js';
import { SERVICE, upstream } from './cluster-harness.js';

const SERVERS = Array.from({ length: 10 }, (_, number) => `u${number + 1}`);
const SHARDS = 3 * SHARDS_PER_RUN;

function serviceWith(shards: number) {
  return { ...SERVICE, keyspaces: [{ name: 'all', kind: 'prefix' as const, match: '', shards }] };
}

function startedRig(): CoordinatorRig {
  const rig = new CoordinatorRig();
  rig.declareService(serviceWith(SHARDS));
  for (const id of SERVERS) {
    rig.addServer(upstream(id));
  }
  rig.changeLeader();
  rig.runUntil(() => rig.unowned(SERVICE.name) === 0);
  return rig;
}

function heldCounts(rig: CoordinatorRig): number[] {
  return SERVERS.map((id) => rig.heldCount(id));
}

describe('coordination in slices', () => {
  it('grants all shards, spread evenly', () => {
    const rig = startedRig();
    rig.runUntil(() => heldCounts(rig).every((held) => held === SHARDS / SERVERS.length));
    expect(SERVERS.map((id) => rig.registry.shardsOwnedBy(id).size)).to.deep.equal(heldCounts(rig));
  });

  it('voids no grant when a new leader takes over', () => {
    const rig = startedRig();
    rig.runUntil(() => heldCounts(rig).every((held) => held === SHARDS / SERVERS.length));
    const before = heldCounts(rig);
    const { revision } = rig.registry;
    rig.changeLeader();
    for (let step = 0; step < 1000; step += 1) {
      rig.now += 1;
      rig.step();
      expect(heldCounts(rig)).to.deep.equal(before);
    }
    expect(rig.registry.revision).to.equal(revision);
  });

  it('spreads the shards of lost servers over all others', () => {
    const rig = startedRig();
    rig.loseAndPlace(['u1', 'u2']);
    rig.runUntil(() => rig.unowned(SERVICE.name) === 0);
    const owned = SERVERS.slice(2).map((id) => rig.registry.shardsOwnedBy(id).size);
    expect(owned).to.deep.equal(SERVERS.slice(2).map(() => SHARDS / 8));
  });

  it('moves all shards to a new key map', () => {
    const rig = startedRig();
    rig.declareService(serviceWith(SHARDS + 10));
    rig.runUntil(() => rig.unowned(SERVICE.name) === 0);
    expect(SERVERS.map((id) => rig.registry.shardsOwnedBy(id).size)).to.deep.equal(
      SERVERS.map(() => SHARDS / 10 + 1),
    );
    expect(rig.registry.retiredOwnedShards(SERVICE.name).size).to.equal(0);
  });
});
