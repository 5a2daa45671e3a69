/**
 * Binary heap of servers, ordered by utilisation. A server's position is corrected only when it reaches the top, so a
 * server's load may grow between two calls, but must not shrink.
 */
import { type ServerEntry, utilisation } from './placement-state.js';

interface Candidate {
  readonly entry: ServerEntry;
  utilisation: number;
}

export class CandidateQueue {
  readonly #heap: Candidate[];
  readonly #floor: number;

  constructor(servers: readonly ServerEntry[], floor: number) {
    this.#floor = floor;
    this.#heap = servers.map((entry) => ({ entry, utilisation: utilisation(entry, floor) }));
    for (let index = (this.#heap.length >> 1) - 1; index >= 0; index -= 1) {
      this.#moveDown(index);
    }
  }

  /** Returns the server with the lowest utilisation, without removing it. */
  leastLoaded(): ServerEntry | undefined {
    for (let top = this.#heap[0]; top !== undefined; top = this.#heap[0]) {
      const current = utilisation(top.entry, this.#floor);
      if (current === top.utilisation) {
        return top.entry;
      }
      top.utilisation = current;
      this.#moveDown(0);
    }
    return undefined;
  }

  /** Removes the server that `leastLoaded` returns. */
  removeLeastLoaded(): void {
    const last = this.#heap.pop();
    if (last !== undefined && this.#heap.length > 0) {
      this.#heap[0] = last;
      this.#moveDown(0);
    }
  }

  #moveDown(start: number): void {
    const heap = this.#heap;
    let index = start;
    for (;;) {
      const left = index * 2 + 1;
      let first = index;
      if (left < heap.length && this.#isBefore(left, first)) {
        first = left;
      }
      if (left + 1 < heap.length && this.#isBefore(left + 1, first)) {
        first = left + 1;
      }
      if (first === index) {
        return;
      }
      const swapped = heap[first] as Candidate;
      heap[first] = heap[index] as Candidate;
      heap[index] = swapped;
      index = first;
    }
  }

  #isBefore(left: number, right: number): boolean {
    const one = this.#heap[left] as Candidate;
    const other = this.#heap[right] as Candidate;
    const difference = one.utilisation - other.utilisation;
    return difference < 0 || (difference === 0 && one.entry.rank < other.entry.rank);
  }
}
