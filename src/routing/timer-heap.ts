/** Deadlines in time order: a binary heap whose cancelled entries are dropped lazily. */

export interface Timer<Subject> {
  readonly at: number;
  readonly subject: Subject;
  readonly sequence: number;
  cancelled: boolean;
}

/** Cancelled entries that are kept before the heap is rebuilt without them. */
const COMPACTION_MINIMUM = 256;

export class TimerHeap<Subject> {
  private heap: Timer<Subject>[] = [];
  private cancelledCount = 0;
  private nextSequence = 0;

  /** Adds a timer. Timers due at the same time come out in the order they were added. */
  schedule(at: number, subject: Subject): Timer<Subject> {
    const timer = { at, subject, sequence: this.nextSequence++, cancelled: false };
    this.heap.push(timer);
    this.siftUp(this.heap.length - 1);
    return timer;
  }

  /** Cancelling a timer twice, or one that came out, changes nothing. */
  cancel(timer: Timer<Subject>): void {
    if (timer.cancelled) {
      return;
    }
    timer.cancelled = true;
    this.cancelledCount += 1;
    if (this.cancelledCount > COMPACTION_MINIMUM && this.cancelledCount * 2 > this.heap.length) {
      this.compact();
    }
  }

  /** Time of the earliest timer; `Infinity` without one. */
  nextAt(): number {
    this.dropCancelledTop();
    return this.heap[0]?.at ?? Number.POSITIVE_INFINITY;
  }

  /** Removes and returns the earliest timer that is due, if there is one. */
  takeDue(now: number): Timer<Subject> | undefined {
    this.dropCancelledTop();
    const top = this.heap[0];
    if (top === undefined || top.at > now) {
      return undefined;
    }
    this.removeTop();
    // It left the heap: a later cancel must not be counted.
    top.cancelled = true;
    return top;
  }

  private dropCancelledTop(): void {
    while (this.heap[0]?.cancelled) {
      this.removeTop();
      this.cancelledCount -= 1;
    }
  }

  private compact(): void {
    const live = this.heap.filter((timer) => !timer.cancelled);
    // A sorted array is a heap.
    this.heap = live.sort((a, b) => (before(a, b) ? -1 : 1));
    this.cancelledCount = 0;
  }

  private removeTop(): void {
    const last = this.heap.pop();
    if (last !== undefined && this.heap.length > 0) {
      this.heap[0] = last;
      this.siftDown(0);
    }
  }

  private siftUp(start: number): void {
    const timer = this.heap[start] as Timer<Subject>;
    let index = start;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = this.heap[parentIndex] as Timer<Subject>;
      if (!before(timer, parent)) {
        break;
      }
      this.heap[index] = parent;
      index = parentIndex;
    }
    this.heap[index] = timer;
  }

  private siftDown(start: number): void {
    const timer = this.heap[start] as Timer<Subject>;
    let index = start;
    for (;;) {
      const child = this.earlierChild(index);
      if (child === undefined || !before(this.heap[child] as Timer<Subject>, timer)) {
        break;
      }
      this.heap[index] = this.heap[child] as Timer<Subject>;
      index = child;
    }
    this.heap[index] = timer;
  }

  private earlierChild(index: number): number | undefined {
    const left = 2 * index + 1;
    const leftTimer = this.heap[left];
    if (leftTimer === undefined) {
      return undefined;
    }
    const rightTimer = this.heap[left + 1];
    return rightTimer !== undefined && before(rightTimer, leftTimer) ? left + 1 : left;
  }
}

function before(a: Timer<unknown>, b: Timer<unknown>): boolean {
  return a.at < b.at || (a.at === b.at && a.sequence < b.sequence);
}
