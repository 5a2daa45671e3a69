import { expect } from 'chai';
import { ARRIVING_LIMIT, createPlanner } from '../../src/placement/index.js';
import { BALANCED, PlacedService, placedService, server, shard } from './placement-fixtures.js';

const CAUTIOUS = { weights: { unavailability: 10, imbalance: 2, churn: 3 }, movesPerMinute: 60 };

function countsOf(service: PlacedService): number[] {
  return [...service.servers.keys()].map((id) => service.ownedBy(id).length);
}

describe('weighted planner', () => {
  it('spreads shards without load evenly by number', () => {
    const service = placedService(createPlanner(BALANCED), 4, Array<number>(40).fill(0));
    expect(countsOf(service)).to.deep.equal([10, 10, 10, 10]);
  });

  it('spreads by load, the heaviest first', () => {
    const service = placedService(createPlanner(BALANCED), 3, [20, 40, 60, 40, 20]);
    expect(['s0', 's1', 's2'].map((id) => service.loadOf(id))).to.have.members([60, 60, 60]);
  });

  it('gives a server of twice the capacity twice the load', () => {
    const service = new PlacedService(createPlanner(BALANCED));
    service.setServer(server('small'));
    service.setServer(server('large', { capacity: 2 }));
    for (let number = 0; number < 30; number += 1) {
      service.setShard(shard(`k${number}`, { load: 1 }));
    }
    service.step(0);
    expect(service.ownedBy('large')).to.have.length(20);
  });

  it('puts the hottest shards into different zones', () => {
    const service = new PlacedService(createPlanner(BALANCED));
    for (const [id, zone] of [
      ['s0', 'a'],
      ['s1', 'a'],
      ['s2', 'b'],
      ['s3', 'b'],
    ] as const) {
      service.setServer(server(id, { zone }));
    }
    service.setShard(shard('hot1', { load: 100 }));
    service.setShard(shard('hot2', { load: 100 }));
    service.step(0);
    const owners = [service.shards.get('hot1')?.owner, service.shards.get('hot2')?.owner];
    expect(owners).to.have.members(['s0', 's2']);
  });

  it('does nothing when nothing changes', () => {
    const service = placedService(createPlanner(BALANCED), 5, [9, 8, 7, 6, 5, 4, 3, 2, 1, 0]);
    expect(service.run(1000, 100)).to.deep.equal([]);
  });

  it("spreads a lost server's shards over all others", () => {
    const service = placedService(createPlanner(BALANCED), 5, Array<number>(40).fill(1));
    service.lose('s0');
    service.step(1000);
    expect(countsOf(service)).to.deep.equal([0, 10, 10, 10, 10]);
  });

  it('does not move shards of a lost server while they have an owner', () => {
    const service = placedService(createPlanner(BALANCED), 3, Array<number>(9).fill(1));
    service.setServer(server('s0', { state: 'lost' }));
    expect(service.run(1000, 10)).to.deep.equal([]);
  });

  it('prefers the server that has warmed the shard', () => {
    const service = placedService(createPlanner(BALANCED), 3, [5, 5, 5]);
    const owner = service.shards.get('k0')?.owner as string;
    service.setShard(shard('extra', { load: 1, target: owner }));
    service.step(1000);
    expect(service.shards.get('extra')?.owner).to.equal(owner);
  });

  it('moves the shards of a draining server in batches, regardless of the budget', () => {
    const planner = createPlanner({ ...BALANCED, movesPerMinute: 0 });
    const service = placedService(planner, 2, Array<number>(100).fill(1));
    service.setServer(server('s0', { state: 'draining' }));
    const first = planner.plan(1000);
    expect(first).to.have.length(ARRIVING_LIMIT);
    expect(
      first.every(({ from, to, reason }) => from === 's0' && to === 's1' && reason === 'evacuate'),
    ).to.equal(true);
    expect(planner.plan(1100)).to.deep.equal([]);
    const arrived = first[0]?.shard as string;
    service.setShard(shard(arrived, { load: 1, owner: 's1' }));
    expect(planner.plan(1200)).to.have.length(1);
  });

  it('moves shards off a server that may no longer hold them', () => {
    const service = placedService(createPlanner(BALANCED), 3, Array<number>(9).fill(1));
    service.setServer(server('s0', { mayHold: ['other'] }));
    service.step(1000);
    expect(service.ownedBy('s0')).to.deep.equal([]);
  });

  it('relieves the owner of a shard that became hot, without moving the hot shard', () => {
    const service = placedService(createPlanner(BALANCED), 5, Array<number>(50).fill(10));
    const owner = service.shards.get('k0')?.owner as string;
    service.setLoad('k0', 400);
    const moves = service.run(1000, 5);
    expect(moves.every((move) => move.from === owner && move.shard !== 'k0')).to.equal(true);
    expect(service.loadOf(owner)).to.be.at.most(400 * 1.05);
  });

  it('moves fewer shards when imbalance has a lower weight', () => {
    const movesOf = (settings: typeof BALANCED): number => {
      const service = placedService(createPlanner(settings), 5, Array<number>(50).fill(10));
      for (let number = 0; number < 10; number += 1) {
        service.setLoad(`k${number}`, 10 + 10 * number);
      }
      return service.run(1000, 30).length;
    };
    expect(movesOf(CAUTIOUS)).to.be.below(movesOf(BALANCED));
    expect(movesOf({ weights: { unavailability: 1, imbalance: 0, churn: 1 }, movesPerMinute: 60 })).to.equal(
      0,
    );
  });

  it('fills a server that joined', () => {
    const service = placedService(createPlanner(BALANCED), 4, Array<number>(40).fill(1));
    service.setServer(server('s4'));
    service.run(1000, 30);
    expect(service.ownedBy('s4').length).to.be.within(7, 9);
  });

  it('does not move a shard again within its cooldown', () => {
    const service = placedService(createPlanner(BALANCED), 3, Array<number>(30).fill(1));
    for (let second = 1; second <= 4; second += 1) {
      for (const current of [...service.shards.values()]) {
        service.setLoad(current.shard, current.owner === `s${second % 3}` ? 3 : 1);
      }
      service.step(second * 1000);
    }
    const moved = service.moves.filter(({ move }) => move.reason === 'balance').map(({ move }) => move.shard);
    expect(moved.length).to.be.above(0);
    expect(new Set(moved).size).to.equal(moved.length);
  });
});
