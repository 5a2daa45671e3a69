/**
 * Timers in time order: a binary heap whose entries store their index, so that a cancelled timer is removed at once. A cancelled
 * timer that stayed until it was due would keep its request reachable for seconds, which costs the garbage collector time.
 */

/** Position of a timer that isn't in the heap. */
const NOT_IN_HEAP = -1;

export interface Timer<Subject> {
  readonly at: number;
  readonly subject: Subject;
  readonly sequence: number;
  /** Index in the heap; written only by the heap. */
  position: number;
}

export class TimerHeap<Subject> {
  private readonly heap: Timer<Subject>[] = [];
  private nextSequence = 0;

  /** Number of pending timers. */
  get size(): number {
    return this.heap.length;
  }

  /** Adds a timer. Timers due at the same time are returned in the order in which they were added. */
  schedule(at: number, subject: Subject): Timer<Subject> {
    const position = this.heap.length;
    const timer = { at, subject, sequence: this.nextSequence++, position };
    this.heap.push(timer);
    this.siftUp(timer, position);
    return timer;
  }

  /** Removes a timer. Has no effect if it was cancelled before or has been returned by `takeDue`. */
  cancel(timer: Timer<Subject>): void {
    if (timer.position !== NOT_IN_HEAP) {
      this.remove(timer);
    }
  }

  /** Time of the earliest timer; `Infinity` if there is none. */
  nextAt(): number {
    return this.heap[0]?.at ?? Number.POSITIVE_INFINITY;
  }

  /** Removes and returns the earliest timer if it is due. */
  takeDue(now: number): Timer<Subject> | undefined {
    const top = this.heap[0];
    if (top === undefined || top.at > now) {
      return undefined;
    }
    this.remove(top);
    return top;
  }

  /** Replaces the removed timer by the last one and restores the heap order. */
  private remove(timer: Timer<Subject>): void {
    const { position } = timer;
    const last = this.heap.pop() as Timer<Subject>;
    timer.position = NOT_IN_HEAP;
    if (last !== timer) {
      this.siftUp(last, position);
      this.siftDown(last, last.position);
    }
  }

  private place(timer: Timer<Subject>, position: number): void {
    this.heap[position] = timer;
    timer.position = position;
  }

  private siftUp(timer: Timer<Subject>, start: number): void {
    let position = start;
    while (position > 0) {
      const parentPosition = (position - 1) >> 1;
      const parent = this.heap[parentPosition] as Timer<Subject>;
      if (!isBefore(timer, parent)) {
        break;
      }
      this.place(parent, position);
      position = parentPosition;
    }
    this.place(timer, position);
  }

  private siftDown(timer: Timer<Subject>, start: number): void {
    let position = start;
    for (;;) {
      const child = this.earlierChild(position);
      if (child === undefined || !isBefore(child, timer)) {
        break;
      }
      const childPosition = child.position;
      this.place(child, position);
      position = childPosition;
    }
    this.place(timer, position);
  }

  private earlierChild(position: number): Timer<Subject> | undefined {
    const left = this.heap[2 * position + 1];
    const right = this.heap[2 * position + 2];
    if (left === undefined || right === undefined) {
      return left;
    }
    return isBefore(right, left) ? right : left;
  }
}

function isBefore(a: Timer<unknown>, b: Timer<unknown>): boolean {
  return a.at < b.at || (a.at === b.at && a.sequence < b.sequence);
}
