/** Picks keys by a Zipf distribution: the key of rank n is picked in proportion to 1 / n^exponent. */
import { type RandomSource, ZipfDistribution } from '../../virtual/random-source.js';

export class ZipfKeys {
  readonly #ranks: ZipfDistribution;
  readonly #count: number;
  readonly #prefix: string;
  readonly #hotKeys: readonly string[];
  readonly #random: RandomSource;

  /** The `count` keys are `hotKeys`, then `<prefix><rank>`. */
  constructor(
    prefix: string,
    count: number,
    exponent: number,
    random: RandomSource,
    hotKeys: readonly string[] = [],
  ) {
    this.#ranks = new ZipfDistribution(count, exponent);
    this.#count = count;
    this.#prefix = prefix;
    this.#hotKeys = hotKeys;
    this.#random = random;
  }

  /** Draws the key of one request. */
  pick(): string {
    return this.#keyOf(this.#ranks.draw(this.#random));
  }

  /** Returns all keys, most popular first. */
  all(): string[] {
    return Array.from({ length: this.#count }, (_, rank) => this.#keyOf(rank));
  }

  #keyOf(rank: number): string {
    return this.#hotKeys[rank] ?? `${this.#prefix}${rank + 1}`;
  }
}
