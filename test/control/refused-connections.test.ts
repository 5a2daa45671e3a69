/**
 * Guards against two servers holding the same keys for seconds, as seen on days with cuts between servers and
 * control.
 *
 * An owner was cut off from control, but not from routers, by a device that refused connections in its place, and its
 * heartbeats stopped. The next connection of control to it was refused (a check where ranges are granted by
 * heartbeats, a renewal where they are granted by calls). Control assigned its keys to others while it held them
 * until its last grant expired, up to 10 s later.
 *
 * The cause was that a refused connection counted as proof that the run at the address had ended. In each play with
 * two holders, control's log had a call to the first one with the outcome `ended` within 0.1 s before the second
 * one's first grant, while requests continued to reach the first.
 */
import { expect } from 'chai';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { HeartbeatWorld } from './heartbeat-world.js';
import { RangeWorld } from './range-world.js';

const FIRST_GRANTS_MILLIS = 4000;
/** Longer than any grant is held, including one accepted late, in both simulations. */
const LONG_MILLIS = 14_000;
/** Seeds under one leader; as many more run with an election during the cut. */
const SEEDS = 20;

function randomOf(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

const WORLDS = {
  heartbeats: (seed: number) => {
    const world = new HeartbeatWorld(randomOf(seed));
    for (let index = 1; index <= 4; index += 1) {
      world.add(`u${index}`);
    }
    const set = (id: string, condition: 'up' | 'refused'): void => {
      Object.assign(world.upstreams.get(id) ?? {}, { condition });
    };
    return { world, set };
  },
  calls: (seed: number) => {
    const world = new RangeWorld(randomOf(seed));
    for (let index = 1; index <= 4; index += 1) {
      world.addHolder(`u${index}`);
    }
    const set = (id: string, state: 'up' | 'refused'): void => {
      Object.assign(world.holders.get(id) ?? {}, { state });
    };
    return { world, set };
  },
} as const;

describe('an owner whose connections are refused by a device on the path', () => {
  for (const carrier of ['heartbeats', 'calls'] as const) {
    it(`is the only holder, with grants by ${carrier}, and its keys are served again`, () => {
      for (let seed = 1; seed <= 2 * SEEDS; seed += 1) {
        const { world, set } = WORLDS[carrier](seed);
        world.elect();
        world.run(FIRST_GRANTS_MILLIS);
        expect(world.servedShare(), `seed ${seed}`).to.equal(1);
        set('u2', 'refused');
        if (seed > SEEDS) {
          // This leader has received no heartbeat yet.
          world.elect();
        }
        // The simulation checks all holders after each event.
        world.run(2 * LONG_MILLIS);
        expect(world.servedShare(), `seed ${seed}, others have its keys`).to.equal(1);
        set('u2', 'up');
        world.run(LONG_MILLIS);
        expect(world.servedShare(), `seed ${seed}, back`).to.equal(1);
      }
    });
  }

  it('has a second holder, with grants by calls, if a refusal counts as the end of its run (sabotage)', () => {
    const { world, set } = WORLDS.calls(1);
    world.countsRefusalAsEnd = true;
    world.elect();
    world.run(FIRST_GRANTS_MILLIS);
    set('u2', 'refused');
    expect(() => world.run(LONG_MILLIS)).to.throw(/held by/);
  });
});
