/**
 * Tracks moves of single keys whose load exceeds the capacity of any owner. Such a key is moved at most once while it is
 * that hot: its excess load is rejected at any owner, and each move leaves it without an owner for a while.
 */
import type { KeyLoads } from './key-loads.js';

/** A key whose load has fallen below this share of its load at the move may move again. */
const COOLED_SHARE = 0.5;

export class HotKeyMoves {
  /** Load of each key at the time of its move, in milliseconds of work per second. */
  readonly #loadsAtMove = new Map<number, number>();

  /** Forgets keys that have cooled since their move. */
  forgetCooled(loads: KeyLoads): void {
    for (const [key, load] of this.#loadsAtMove) {
      if (loads.loadOf(key) < load * COOLED_SHARE) {
        this.#loadsAtMove.delete(key);
      }
    }
  }

  hasMoved(key: number): boolean {
    return this.#loadsAtMove.has(key);
  }

  recordMove(key: number, load: number): void {
    this.#loadsAtMove.set(key, load);
  }
}
