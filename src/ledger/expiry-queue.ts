/** Binary min-heap of keys by time, for removing expired entries without a full scan. */

/** One entry of the queue. */
export interface ExpiryEntry {
  /** Time that the entry is sorted by. */
  readonly time: number;
  readonly key: string;
}

/**
 * A queue that returns the earliest entry first. An entry stays in the queue when its key is deleted or extended, so the caller
 * checks after `pop` whether the entry is still valid. Each operation costs O(log n).
 */
export class ExpiryQueue {
  private readonly heap: ExpiryEntry[] = [];

  get size(): number {
    return this.heap.length;
  }

  /** Returns the earliest entry without removing it. */
  peek(): ExpiryEntry | undefined {
    return this.heap[0];
  }

  push(entry: ExpiryEntry): void {
    this.heap.push(entry);
    this.siftUp(this.heap.length - 1);
  }

  /** Removes and returns the earliest entry. */
  pop(): ExpiryEntry | undefined {
    const first = this.heap[0];
    const last = this.heap.pop();
    if (last !== undefined && this.heap.length > 0) {
      this.heap[0] = last;
      this.siftDown();
    }
    return first;
  }

  private siftUp(start: number): void {
    let position = start;
    while (position > 0) {
      const parent = (position - 1) >> 1;
      if (this.timeAt(parent) <= this.timeAt(position)) {
        return;
      }
      this.swap(parent, position);
      position = parent;
    }
  }

  private siftDown(): void {
    let position = 0;
    for (;;) {
      const left = 2 * position + 1;
      const right = left + 1;
      const child = this.timeAt(right) < this.timeAt(left) ? right : left;
      if (this.timeAt(child) >= this.timeAt(position)) {
        return;
      }
      this.swap(child, position);
      position = child;
    }
  }

  /** Returns infinity past the end, so that a missing child is never the smaller one. */
  private timeAt(position: number): number {
    return this.heap[position]?.time ?? Number.POSITIVE_INFINITY;
  }

  private swap(one: number, other: number): void {
    const entry = this.heap[one] as ExpiryEntry;
    this.heap[one] = this.heap[other] as ExpiryEntry;
    this.heap[other] = entry;
  }
}
