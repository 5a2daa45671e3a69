/** Seeded randomness of a router: the same seed gives the same choices. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

export class Random {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A whole number from 0 up to, but not including, `bound`. */
  below(bound: number): number {
    return bound <= 1 ? 0 : uniformInt(this.generator, 0, bound - 1);
  }

  /** A number from 0 up to, but not including, 1. */
  share(): number {
    return uniformFloat64(this.generator);
  }

  /** `value` spread evenly over `value * (1 ± share)`, so that callers told the same wait don't return together. */
  jitter(value: number, share: number): number {
    return value * (1 - share + 2 * share * uniformFloat64(this.generator));
  }
}
