/**
 * Account of the bytes of answers that a router holds for its callers. A holder may read on while it holds less than is
 * free in all (dynamic thresholds): the largest holder waits first, and whoever comes next finds room.
 */

export interface HeldBytesLimits {
  /** Bytes of answers held at once, over all connections; an answer that is read on may go beyond it by one piece. */
  readonly heldAnswerBytes: number;
  /** Bytes held for one connection: request bodies, answers, and requests that wait. */
  readonly heldBytesPerConnection: number;
}

/** What one who reads on takes at least, about: what a socket gives at once. */
const PIECE_BYTES = 64 * 1024;

export class HeldBytes {
  readonly #limits: HeldBytesLimits;
  readonly #waiting = new Set<() => void>();
  #used = 0;

  constructor(limits: HeldBytesLimits) {
    this.#limits = limits;
  }

  get used(): number {
    return this.#used;
  }

  /** Answers that aren't read further until there is room. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** Whether one who holds so many bytes may take on more. */
  hasRoom(heldBytes: number): boolean {
    const { heldAnswerBytes, heldBytesPerConnection } = this.#limits;
    return heldBytes < heldBytesPerConnection && heldBytes < heldAnswerBytes - this.#used;
  }

  /** Whether so many bytes are free. */
  hasFree(bytes: number): boolean {
    return bytes < this.#limits.heldAnswerBytes - this.#used;
  }

  /** So many more bytes are held, or fewer. */
  change(bytes: number): void {
    this.#used += bytes;
    if (bytes < 0 && this.#waiting.size > 0) {
      this.#wake();
    }
  }

  /** Calls back once when bytes are released; that there is room then isn't sure. */
  whenReleased(wake: () => void): void {
    this.#waiting.add(wake);
  }

  forget(wake: () => void): void {
    this.#waiting.delete(wake);
  }

  /** Wakes as many as may find room, those first that wait longest; what they take comes later. */
  #wake(): void {
    let freeBytes = this.#limits.heldAnswerBytes - this.#used;
    for (const wake of [...this.#waiting]) {
      if (freeBytes <= 0) {
        return;
      }
      this.#waiting.delete(wake);
      wake();
      // One that found no room waits again, and takes nothing.
      freeBytes -= this.#waiting.has(wake) ? 0 : PIECE_BYTES;
    }
  }
}
