/** Seeded random numbers: one stream a part of the simulation, so that a change in one part leaves the others as they were. */
import { RandomSource } from '../virtual/random-source.js';

/** The first numbers of a generator hardly depend on its seed. */
const SKIPPED_NUMBERS = 20;
const LARGEST_SEED = 0x3fffffff;

export class Random extends RandomSource {
  constructor(seed: number) {
    super(seed);
    for (let skipped = 0; skipped < SKIPPED_NUMBERS; skipped += 1) {
      this.generator.next();
    }
  }

  /** A whole number from `low` to `high`, both included. */
  integer(low: number, high: number): number {
    return low + this.below(high - low + 1);
  }

  /** A number from `low` (included) to `high`. */
  between(low: number, high: number): number {
    return low + this.fraction() * (high - low);
  }

  /** Whether an event of this probability happens. */
  chance(probability: number): boolean {
    return this.fraction() < probability;
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
    return new Random(this.integer(0, LARGEST_SEED));
  }
}
