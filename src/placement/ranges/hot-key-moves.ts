/**
 * Single keys that no owner can bear. Such a key is moved once at most while it is that hot: what it asks beyond its owner is
 * refused wherever it is, and each move leaves it without owner for a while.
 */
import type { KeyLoads } from './key-loads.js';

/** A key that cooled to this share of what it had when it moved counts as another heat. */
const COOLED_SHARE = 0.5;

export class HotKeyMoves {
  /** Load of each key when it moved, in milliseconds of work a second. */
  readonly #moved = new Map<number, number>();

  /** Forgets keys that cooled since. */
  follow(loads: KeyLoads): void {
    for (const [key, load] of this.#moved) {
      if (loads.of(key) < load * COOLED_SHARE) {
        this.#moved.delete(key);
      }
    }
  }

  has(key: number): boolean {
    return this.#moved.has(key);
  }

  moved(key: number, load: number): void {
    this.#moved.set(key, load);
  }
}
