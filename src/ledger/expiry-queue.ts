/** Binary min-heap of keys by time, for dropping what has expired without a scan of everything. */

/** One entry of the queue. */
export interface ExpiryEntry {
  /** Time the entry sorts by. */
  readonly time: number;
  readonly key: string;
}

/**
 * Earliest entry first. An entry isn't removed when its subject goes or is extended; whoever pops it looks
 * whether it still holds. Each operation costs O(log n).
 */
export class ExpiryQueue {
  private readonly heap: ExpiryEntry[] = [];

  get size(): number {
    return this.heap.length;
  }

  /** The earliest entry, left in place. */
  peek(): ExpiryEntry | undefined {
    return this.heap[0];
  }

  push(entry: ExpiryEntry): void {
    this.heap.push(entry);
    this.siftUp(this.heap.length - 1);
  }

  /** Takes the earliest entry out. */
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

  /** Infinity past the end, so that missing children never win. */
  private timeAt(position: number): number {
    return this.heap[position]?.time ?? Number.POSITIVE_INFINITY;
  }

  private swap(one: number, other: number): void {
    const entry = this.heap[one] as ExpiryEntry;
    this.heap[one] = this.heap[other] as ExpiryEntry;
    this.heap[other] = entry;
  }
}
