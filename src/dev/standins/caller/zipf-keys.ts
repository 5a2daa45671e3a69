/** Picks keys by a Zipf distribution: the key of rank n is asked for in proportion to 1 / n^exponent. */
import { type RandomSource, ZipfDistribution } from '../../virtual/random-source.js';

export class ZipfKeys {
  readonly #ranks: ZipfDistribution;
  readonly #count: number;
  readonly #prefix: string;
  readonly #hotKeys: readonly string[];
  readonly #random: RandomSource;

  /** Keys are `hotKeys`, then `<prefix><rank>`; `count` in all. */
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

  /** A key as one request names it. */
  pick(): string {
    return this.#keyOf(this.#ranks.draw(this.#random));
  }

  /** Every key, most popular first. */
  all(): string[] {
    return Array.from({ length: this.#count }, (_, rank) => this.#keyOf(rank));
  }

  #keyOf(rank: number): string {
    return this.#hotKeys[rank] ?? `${this.#prefix}${rank + 1}`;
  }
}
