/** Seeded random numbers: each part of the simulation has its own stream, so that a change in one part doesn't alter the others. */
import { RandomSource } from '../virtual/random-source.js';

/** The first numbers of a generator hardly depend on its seed, so they are discarded. */
const DISCARDED_NUMBERS = 20;
const MAX_SEED = 0x3fffffff;

export class Random extends RandomSource {
  constructor(seed: number) {
    super(seed);
    for (let skipped = 0; skipped < DISCARDED_NUMBERS; skipped += 1) {
      this.generator.next();
    }
  }

  /** Returns an integer from `low` to `high`, both included. */
  integer(low: number, high: number): number {
    return low + this.below(high - low + 1);
  }

  /** Returns a number from `low` (included) to `high` (excluded). */
  between(low: number, high: number): number {
    return low + this.fraction() * (high - low);
  }

  /** Draws whether an event of this probability happens. */
  chance(probability: number): boolean {
    return this.fraction() < probability;
  }

  /** Returns the items in random order. */
  shuffle<Item>(items: readonly Item[]): Item[] {
    const shuffled = [...items];
    for (let index = shuffled.length - 1; index > 0; index -= 1) {
      const other = this.integer(0, index);
      [shuffled[index], shuffled[other]] = [shuffled[other] as Item, shuffled[index] as Item];
    }
    return shuffled;
  }

  /** Returns a new, independent stream. */
  fork(): Random {
    return new Random(this.integer(0, MAX_SEED));
  }
}
