/**
 * Owners that restart under their id: their keys get a higher fence and an owner at once, whatever messages to them
 * are in transit.
 */
import { expect } from 'chai';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { RangeWorld, SERVICE } from './range-world.js';

const FIRST_GRANTS_MILLIS = 2500;
/** Number of seeds; set `TERNMOUNT_SEEDS` to run more. */
const SEEDS = Number(process.env.TERNMOUNT_SEEDS ?? 24);

function started(random?: () => number): RangeWorld {
  const world = new RangeWorld(random);
  for (const id of ['u1', 'u2', 'u3', 'u4']) {
    world.addHolder(id, undefined, 'a', 1000);
  }
  world.elect();
  world.run(FIRST_GRANTS_MILLIS);
  expect(world.servedShare()).to.equal(1);
  return world;
}

describe('owners that restart under their id', () => {
  it('are replaced at once, under higher fences', () => {
    const world = started();
    const before = world.registry.ranges(SERVICE).find(({ owner }) => owner === 'u2');
    world.restart('u2');
    world.run(400);
    expect(world.servedShare()).to.equal(1);
    const after = world.registry.ranges(SERVICE).filter(({ from, to }) => {
      const { from: first = 0, to: last = 0 } = before ?? {};
      return from >= first && to <= last;
    });
    expect(after.every(({ fence }) => fence > (before?.fence ?? 0))).to.equal(true);
  });

  it('never hold a key under a fence under which another of their runs held it', () => {
    const world = started();
    world.restart('u2');
    world.run(200);
    world.restart('u2');
    world.run(3000);
    expect(world.servedShare()).to.equal(1);
  });

  it('reuse a fence if grants that were sent before may use any connection (sabotage)', () => {
    const world = started();
    world.ignoresConnections = true;
    // Renewals are due before the next run's heartbeat.
    expect(() => {
      for (let count = 0; count < 24; count += 1) {
        world.restart(`u${1 + (count % 4)}`, false);
        world.run(370);
      }
    }).to.throw('which a run before it held');
  });

  it('hold nothing granted before while their next run is still unknown', () => {
    const world = started();
    for (let count = 0; count < 24; count += 1) {
      world.restart(`u${1 + (count % 4)}`, false);
      world.run(370);
    }
    world.run(2000);
    expect(world.servedShare()).to.equal(1);
  });

  it('never cause two holders of a key, with late grants, lost leaders and late heartbeats', () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const generator = xoroshiro128plus(seed);
      const random = (): number => uniformFloat64(generator);
      const world = started(random);
      for (const holder of world.holders.values()) {
        holder.lateShare = 0.3;
      }
      for (let step = 0; step < 12; step += 1) {
        world.run(random() * 900);
        const id = `u${1 + Math.floor(random() * 4)}`;
        if (random() < 0.6) {
          world.restart(id, random() < 0.5);
        }
        if (random() < 0.25) {
          world.elect();
        }
        if (random() < 0.4) {
          world.announceRunBefore(id);
        }
      }
      for (const holder of world.holders.values()) {
        holder.lateShare = 0;
      }
      world.run(14_000);
      expect(world.servedShare(), `seed ${seed}`).to.equal(1);
    }
  });
});
