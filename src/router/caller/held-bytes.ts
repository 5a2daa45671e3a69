/**
 * Accounts for the bytes of answers that a router buffers for its callers. A connection may buffer more while it has less
 * buffered than is free in total (dynamic thresholds): the connection with the most waits first, and a new one finds capacity.
 */

export interface HeldBytesLimits {
  /** Maximum bytes of answers buffered at once for all connections. An answer may exceed it by one read. */
  readonly heldAnswerBytes: number;
  /** Maximum bytes buffered for one connection: request bodies, answers, and waiting requests. */
  readonly heldBytesPerConnection: number;
}

/** About the least that a resumed answer buffers: one read of a socket. */
const READ_BYTES = 64 * 1024;

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

  /** Number of answers that aren't read further until there is capacity. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** Whether a connection that has `heldBytes` buffered may buffer more. */
  hasCapacity(heldBytes: number): boolean {
    const { heldAnswerBytes, heldBytesPerConnection } = this.#limits;
    return heldBytes < heldBytesPerConnection && heldBytes < heldAnswerBytes - this.#used;
  }

  /** Whether a connection that has `heldBytes` buffered may buffer `bytes` more. */
  hasCapacityFor(heldBytes: number, bytes: number): boolean {
    return heldBytes + bytes <= this.#limits.heldBytesPerConnection && this.hasFreeBytes(bytes);
  }

  /** Whether `bytes` are free. */
  hasFreeBytes(bytes: number): boolean {
    return bytes < this.#limits.heldAnswerBytes - this.#used;
  }

  /** Adds `bytes`, which may be negative, to the buffered bytes. */
  change(bytes: number): void {
    this.#used += bytes;
    if (bytes < 0 && this.#waiting.size > 0) {
      this.#wakeWaiters();
    }
  }

  /** Calls `wake` once when bytes are released. The capacity may be used up again by then. */
  waitForRelease(wake: () => void): void {
    this.#waiting.add(wake);
  }

  cancelWait(wake: () => void): void {
    this.#waiting.delete(wake);
  }

  /** Wakes as many waiters as may find capacity, longest wait first. They buffer their bytes later. */
  #wakeWaiters(): void {
    let freeBytes = this.#limits.heldAnswerBytes - this.#used;
    for (const wake of [...this.#waiting]) {
      if (freeBytes <= 0) {
        return;
      }
      this.#waiting.delete(wake);
      wake();
      // A waiter that found no capacity waits again and buffers nothing.
      freeBytes -= this.#waiting.has(wake) ? 0 : READ_BYTES;
    }
  }
}
