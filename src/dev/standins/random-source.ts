/** Seeded random numbers for stand-ins: the same seed gives the same load. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** The first draws of a small seed are all close to 1: its state is nearly all ones or zeros. */
const DISCARDED_DRAWS = 32;

export class RandomSource {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
    for (let draw = 0; draw < DISCARDED_DRAWS; draw += 1) {
      this.#generator.next();
    }
  }

  /** In [0, 1). */
  uniform(): number {
    return uniformFloat64(this.#generator);
  }

  /** Exponentially distributed with this mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.uniform());
  }

  /** Log-normal with this mean; `sigma` is the spread of its logarithm. */
  logNormal(mean: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.uniform()));
    const normal = radius * Math.cos(2 * Math.PI * this.uniform());
    return mean * Math.exp(sigma * normal - (sigma * sigma) / 2);
  }
}
