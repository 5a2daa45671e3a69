/** Seeded random numbers: one stream a part of the simulation, so that a change in one part leaves the others as they were. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** The first numbers of a generator hardly depend on its seed. */
const SKIPPED_NUMBERS = 20;
/** Resolution of fractions. */
const FRACTION_STEPS = 0x3fffffff;

export class Random {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
    for (let skipped = 0; skipped < SKIPPED_NUMBERS; skipped += 1) {
      this.generator.next();
    }
  }

  /** A whole number from `low` to `high`, both included. */
  integer(low: number, high: number): number {
    return uniformInt(this.generator, low, high);
  }

  /** A number from `low` (included) to `high`. */
  between(low: number, high: number): number {
    return low + (this.integer(0, FRACTION_STEPS) / (FRACTION_STEPS + 1)) * (high - low);
  }

  /** Whether an event of this probability happens. */
  chance(probability: number): boolean {
    return this.between(0, 1) < probability;
  }

  /** A number of the exponential distribution with this mean. */
  exponential(mean: number): number {
    return -Math.log(1 - this.between(0, 1)) * mean;
  }

  /** One of the items; there must be at least one. */
  pick<Item>(items: readonly Item[]): Item {
    return items[this.integer(0, items.length - 1)] as Item;
  }

  /** The items in a random order. */
  shuffle<Item>(items: readonly Item[]): Item[] {
    const shuffled = [...items];
    for (let index = shuffled.length - 1; index > 0; index -= 1) {
      const other = this.integer(0, index);
      [shuffled[index], shuffled[other]] = [shuffled[other] as Item, shuffled[index] as Item];
    }
    return shuffled;
  }

  /** A new stream of its own. */
  fork(): Random {
    return new Random(this.integer(-0x40000000, 0x3fffffff));
  }
}
