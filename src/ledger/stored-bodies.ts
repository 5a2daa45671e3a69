/** Which answers' bodies a service keeps, in the order in which they were settled, and how long they are together. */
import type { StoredAnswer } from './types.js';

export class StoredBodies {
  /** Length of each body; a body that stays keeps its place. */
  private readonly lengths = new Map<string, number>();
  private total = 0;

  /** `limit`: characters of all bodies. */
  constructor(private readonly limit: number) {}

  /** Notes the answer of a key. An answer is settled once, so a key that is known keeps its place. */
  put(key: string, answer: StoredAnswer | null): void {
    const length = answer?.body.length ?? 0;
    if (length === 0) {
      this.forget(key);
    } else if (!this.lengths.has(key)) {
      this.lengths.set(key, length);
      this.total += length;
    }
  }

  forget(key: string): void {
    this.total -= this.lengths.get(key) ?? 0;
    this.lengths.delete(key);
  }

  /** The key whose body goes next; `undefined`: all may stay. */
  overdue(): string | undefined {
    return this.total > this.limit ? this.lengths.keys().next().value : undefined;
  }
}
