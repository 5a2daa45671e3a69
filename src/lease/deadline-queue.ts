/** Binary heap of deadlines, one per key. Replacing a deadline leaves a stale item, which is skipped later. */
import type { MonotonicMillis } from '../model/identifiers.js';

/** Minimum size from which rebuilding the heap is worthwhile. */
const MIN_REBUILT_ITEMS = 64;
/** Number of items per key, including stale ones, from which the heap is rebuilt. */
const MAX_ITEMS_PER_KEY = 4;

interface Item<Key> {
  readonly key: Key;
  readonly at: MonotonicMillis;
}

export class DeadlineQueue<Key> {
  readonly #deadlines = new Map<Key, MonotonicMillis>();
  #heap: Item<Key>[] = [];

  /** Sets or clears (`Infinity`) the deadline of `key`. */
  set(key: Key, at: MonotonicMillis): void {
    if (this.#deadlines.get(key) === at) {
      return;
    }
    if (at === Number.POSITIVE_INFINITY) {
      this.#deadlines.delete(key);
      return;
    }
    this.#deadlines.set(key, at);
    this.#push({ key, at });
    this.#dropStaleItems();
  }

  delete(key: Key): void {
    this.#deadlines.delete(key);
  }

  /** Returns the earliest deadline; `Infinity` if there is none. */
  next(): MonotonicMillis {
    for (let top = this.#heap[0]; top !== undefined; top = this.#heap[0]) {
      if (this.#deadlines.get(top.key) === top.at) {
        return top.at;
      }
      this.#pop();
    }
    return Number.POSITIVE_INFINITY;
  }

  /** Removes and returns up to `maxCount` keys whose deadlines are not after `now`, the earliest first. */
  takeDue(now: MonotonicMillis, maxCount = Number.POSITIVE_INFINITY): Key[] {
    const due: Key[] = [];
    while (due.length < maxCount && this.next() <= now) {
      const { key } = this.#heap[0] as Item<Key>;
      this.#pop();
      this.#deadlines.delete(key);
      due.push(key);
    }
    return due;
  }

  /** Rebuilds the heap if it consists mostly of stale items. */
  #dropStaleItems(): void {
    if (
      this.#heap.length < MIN_REBUILT_ITEMS ||
      this.#heap.length < MAX_ITEMS_PER_KEY * this.#deadlines.size
    ) {
      return;
    }
    this.#heap = [];
    for (const [key, at] of this.#deadlines) {
      this.#push({ key, at });
    }
  }

  #push(item: Item<Key>): void {
    const heap = this.#heap;
    heap.push(item);
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if ((heap[parent] as Item<Key>).at <= item.at) {
        break;
      }
      heap[index] = heap[parent] as Item<Key>;
      index = parent;
    }
    heap[index] = item;
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) {
      return;
    }
    let index = 0;
    for (;;) {
      const left = index * 2 + 1;
      const right = left + 1;
      const least =
        right < heap.length && (heap[right] as Item<Key>).at < (heap[left] as Item<Key>).at ? right : left;
      if (least >= heap.length || (heap[least] as Item<Key>).at >= last.at) {
        break;
      }
      heap[index] = heap[least] as Item<Key>;
      index = least;
    }
    heap[index] = last;
  }
}
