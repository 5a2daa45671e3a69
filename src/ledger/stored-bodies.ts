/** Tracks the stored answer bodies of a service in the order of settlement, with their total length. */
import type { StoredAnswer } from './types.js';

export class StoredBodies {
  /** Length of each body by key, in the order of settlement. */
  private readonly lengths = new Map<string, number>();
  private total = 0;

  /** `limit` is the maximum number of characters of all bodies. */
  constructor(private readonly limit: number) {}

  /** Adds the answer of a key. An answer is settled once, so a key that is present keeps its position. */
  put(key: string, answer: StoredAnswer | null): void {
    const length = answer?.body.length ?? 0;
    if (length === 0) {
      this.remove(key);
    } else if (!this.lengths.has(key)) {
      this.lengths.set(key, length);
      this.total += length;
    }
  }

  remove(key: string): void {
    this.total -= this.lengths.get(key) ?? 0;
    this.lengths.delete(key);
  }

  /** Returns the key whose body is to be evicted next, or `undefined` while the total is within the limit. */
  nextToEvict(): string | undefined {
    return this.total > this.limit ? this.lengths.keys().next().value : undefined;
  }
}
