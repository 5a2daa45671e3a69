/**
 * Deadlines in time order: a binary heap whose entries know their place, so that a cancelled one leaves at once. Kept
 * until it were due, it would hold on to its request for seconds, and the garbage collector would carry that along.
 */

/** Place of a timer that isn't in the heap. */
const NOWHERE = -1;

export interface Timer<Subject> {
  readonly at: number;
  readonly subject: Subject;
  readonly sequence: number;
  /** Place in the heap; only the heap writes it. */
  position: number;
}

export class TimerHeap<Subject> {
  private readonly heap: Timer<Subject>[] = [];
  private nextSequence = 0;

  /** Timers that wait. */
  get size(): number {
    return this.heap.length;
  }

  /** Adds a timer. Timers due at the same time come out in the order they were added. */
  schedule(at: number, subject: Subject): Timer<Subject> {
    const position = this.heap.length;
    const timer = { at, subject, sequence: this.nextSequence++, position };
    this.heap.push(timer);
    this.siftUp(timer, position);
    return timer;
  }

  /** Cancelling a timer twice, or one that came out, changes nothing. */
  cancel(timer: Timer<Subject>): void {
    if (timer.position !== NOWHERE) {
      this.remove(timer);
    }
  }

  /** Time of the earliest timer; `Infinity` without one. */
  nextAt(): number {
    return this.heap[0]?.at ?? Number.POSITIVE_INFINITY;
  }

  /** Removes and returns the earliest timer that is due, if there is one. */
  takeDue(now: number): Timer<Subject> | undefined {
    const top = this.heap[0];
    if (top === undefined || top.at > now) {
      return undefined;
    }
    this.remove(top);
    return top;
  }

  /** The last timer takes the place of the removed one and moves to where it belongs. */
  private remove(timer: Timer<Subject>): void {
    const { position } = timer;
    const last = this.heap.pop() as Timer<Subject>;
    timer.position = NOWHERE;
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
      if (!before(timer, parent)) {
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
      if (child === undefined || !before(child, timer)) {
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
    return before(right, left) ? right : left;
  }
}

function before(a: Timer<unknown>, b: Timer<unknown>): boolean {
  return a.at < b.at || (a.at === b.at && a.sequence < b.sequence);
}
