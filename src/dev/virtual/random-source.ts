/** Seeded random numbers and distributions for load models, based on `pure-rand`. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

export class RandomSource {
  protected readonly generator: RandomGenerator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns a number from 0 (included) to 1 (excluded). */
  fraction(): number {
    return uniformFloat64(this.generator);
  }

  /** Returns an integer from 0 (included) to `count` (excluded). */
  below(count: number): number {
    return uniformInt(this.generator, 0, count - 1);
  }

  /** Returns an exponentially distributed number with this mean, as for gaps of a Poisson process or service times. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.fraction());
  }

  /** Returns a log-normally distributed number with this mean; `sigma` is the standard deviation of its logarithm. */
  logNormal(mean: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.fraction()));
    const normal = radius * Math.cos(2 * Math.PI * this.fraction());
    return mean * Math.exp(sigma * normal - (sigma * sigma) / 2);
  }

  /** Returns one of the items. */
  pick<Item>(items: readonly Item[]): Item {
    return items[this.below(items.length)] as Item;
  }
}

/** Draws ranks 0, 1, 2, ... with probability proportional to 1 / (rank + 1)^skew. */
export class ZipfDistribution {
  private readonly cumulative: Float64Array;

  constructor(count: number, skew: number) {
    this.cumulative = new Float64Array(count);
    let sum = 0;
    for (let rank = 0; rank < count; rank += 1) {
      sum += 1 / (rank + 1) ** skew;
      this.cumulative[rank] = sum;
    }
  }

  /** Probability of rank 0. */
  firstShare(): number {
    return (this.cumulative[0] ?? 1) / this.total();
  }

  /** Probability of a rank. */
  share(rank: number): number {
    const before = rank === 0 ? 0 : (this.cumulative[rank - 1] as number);
    return ((this.cumulative[rank] as number) - before) / this.total();
  }

  draw(random: RandomSource): number {
    const wanted = random.fraction() * this.total();
    let low = 0;
    let high = this.cumulative.length - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.cumulative[middle] as number) > wanted) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return low;
  }

  private total(): number {
    return this.cumulative[this.cumulative.length - 1] ?? 1;
  }
}
