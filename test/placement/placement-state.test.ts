import { expect } from 'chai';
import fc from 'fast-check';
import { PlacementState } from '../../src/placement/placement-state.js';
import { server, shard } from './placement-fixtures.js';

const SERVER_IDS = ['s0', 's1', 's2'];
const SHARD_IDS = ['k0', 'k1', 'k2', 'k3'];

type Change = (state: PlacementState) => void;

const serverId = fc.constantFrom(...SERVER_IDS);
const maybeServerId = fc.option(serverId);
const shardId = fc.constantFrom(...SHARD_IDS);
const changes: fc.Arbitrary<Change[]> = fc.array(
  fc.oneof(
    fc.tuple(serverId, fc.constantFrom('ready' as const, 'draining' as const, 'lost' as const)).map(
      ([id, state]): Change =>
        (target) =>
          target.setServer(server(id, { state })),
    ),
    serverId.map(
      (id): Change =>
        (target) =>
          target.removeServer(id),
    ),
    fc.tuple(shardId, fc.nat(100), maybeServerId, maybeServerId).map(
      ([id, load, owner, target]): Change =>
        (state) =>
          state.setShard(shard(id, { load, owner, target })),
    ),
    fc.tuple(shardId, fc.nat(100)).map(
      ([id, load]): Change =>
        (state) =>
          state.setLoad(id, load),
    ),
    shardId.map(
      (id): Change =>
        (state) =>
          state.removeShard(id),
    ),
    fc.tuple(shardId, serverId).map(
      ([id, to]): Change =>
        (state) => {
          const [entry, target] = [state.shards.get(id), state.servers.get(to)];
          if (entry !== undefined && target !== undefined) {
            state.beginMove(entry, target);
          }
        },
    ),
  ),
  { maxLength: 60 },
);

/** Computes the spread directly from the shards and the servers. */
function recomputedSpread(state: PlacementState) {
  const eligible = [...state.servers.values()].filter(({ server }) => server.state === 'ready');
  const loads = eligible.map(({ shards }) => [...shards].reduce((sum, { load }) => sum + load, 0));
  const sum = loads.reduce((total, load) => total + load, 0);
  const hottest = Math.max(0, ...[...state.shards.values()].map(({ load }) => load));
  return sum === 0 ? null : { most: Math.max(...loads), mean: sum / loads.length, hottest };
}

describe('placement state', () => {
  it('finds another hottest shard when the load of the hottest falls or it is removed', () => {
    const state = new PlacementState();
    state.setServer(server('s0', { state: 'ready' }));
    for (const [id, load] of Object.entries({ k0: 50, k1: 40, k2: 30 })) {
      state.setShard(shard(id, { load, owner: 's0' }));
    }
    expect(state.spread()?.hottest).to.equal(50);
    state.setLoad('k0', 10);
    expect(state.spread()?.hottest).to.equal(40);
    state.removeShard('k1');
    expect(state.spread()?.hottest).to.equal(30);
    state.setLoad('k0', 35);
    expect(state.spread()).to.deep.equal({ most: 65, mean: 65, hottest: 35 });
  });

  it('returns the current spread of the load after each change', () => {
    fc.assert(
      fc.property(changes, (history) => {
        const state = new PlacementState();
        for (const change of history) {
          change(state);
          expect(state.spread()).to.deep.equal(recomputedSpread(state));
        }
      }),
    );
  });

  it('keeps sums and indexes consistent with the shards', () => {
    fc.assert(
      fc.property(changes, (history) => {
        const state = new PlacementState();
        for (const change of history) {
          change(state);
        }
        for (const entry of state.servers.values()) {
          const held = [...state.shards.values()].filter(({ holder }) => holder === entry);
          expect([...entry.shards]).to.have.members(held);
          expect(entry.load).to.equal(held.reduce((sum, { load }) => sum + load, 0));
          expect(entry.arriving).to.equal(held.filter(({ target }) => target !== null).length);
        }
        const unplaced = [...state.unplaced.values()].flatMap((set) => [...set]);
        const isUnplaced = [...state.shards.values()].filter(
          ({ owner, holder }) => owner === null && holder === undefined,
        );
        expect(unplaced).to.have.members(isUnplaced);
        const isMisplaced = [...state.shards.values()].filter(
          ({ holder, target }) => holder?.server.state === 'draining' && target === null,
        );
        expect([...state.misplaced]).to.have.members(isMisplaced);
      }),
      { numRuns: 300 },
    );
  });
});
