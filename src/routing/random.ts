/** Seeded random numbers of a router: the same seed gives the same sequence. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

export class Random {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns an integer from 0 up to, but not including, `bound`. */
  below(bound: number): number {
    return bound <= 1 ? 0 : uniformInt(this.generator, 0, bound - 1);
  }

  /** Returns a number from 0 up to, but not including, 1. */
  share(): number {
    return uniformFloat64(this.generator);
  }

  /** Returns a number uniformly distributed over `value * (1 ± share)`, so that callers with equal waits don't retry at the same time. */
  jitter(value: number, share: number): number {
    return value * (1 - share + 2 * share * uniformFloat64(this.generator));
  }
}
