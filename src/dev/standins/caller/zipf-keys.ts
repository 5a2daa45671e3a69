/** Picks keys by a Zipf distribution: the key of rank n is asked for in proportion to 1 / n^exponent. */
import type { RandomSource } from '../random-source.js';

export class ZipfKeys {
  readonly #cumulative: readonly number[];
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
    let total = 0;
    this.#cumulative = Array.from({ length: count }, (_, index) => {
      total += 1 / (index + 1) ** exponent;
      return total;
    });
    this.#prefix = prefix;
    this.#hotKeys = hotKeys;
    this.#random = random;
  }

  pick(): string {
    const total = this.#cumulative.at(-1) ?? 0;
    const index = this.#rankOf(this.#random.uniform() * total);
    return this.#keyOf(index);
  }

  /** Every key, most popular first. */
  all(): string[] {
    return this.#cumulative.map((_, index) => this.#keyOf(index));
  }

  #keyOf(index: number): string {
    return this.#hotKeys[index] ?? `${this.#prefix}${index + 1}`;
  }

  /** First index whose cumulative weight is above `weight`. */
  #rankOf(weight: number): number {
    let low = 0;
    let high = this.#cumulative.length - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.#cumulative[middle] as number) > weight) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return low;
  }
}
