import { expect } from 'chai';
import { Random } from '../../../src/dev/sim/random.js';

describe('random numbers of simulations', () => {
  it('are uniform across seeds from the first number on', () => {
    const seeds = Array.from({ length: 400 }, (_, seed) => seed);
    const forked = seeds.filter((seed) => new Random(seed).fork().chance(0.5));
    expect(forked.length).to.be.within(150, 250);
    expect(seeds.filter((seed) => new Random(seed).chance(0.5)).length).to.be.within(150, 250);
  });

  it('are the same for the same seed', () => {
    const draw = (): number[] => {
      const random = new Random(7);
      return Array.from({ length: 20 }, () => random.integer(0, 1000));
    };
    expect(draw()).to.deep.equal(draw());
  });
});
