/** A virtual clock: actions run in order of time; those of the same time in the order in which they were scheduled. */

interface ScheduledAction {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
  cancelled: boolean;
}

/** Cancels an action that hasn't run yet. */
export type CancelAction = () => void;

/** A binary heap of actions and the clock that they advance. Times are in milliseconds. */
export class EventQueue {
  private readonly heap: ScheduledAction[] = [];
  private nextOrder = 0;
  private clock = 0;

  /** Current virtual time. */
  get now(): number {
    return this.clock;
  }

  /** Schedules `run` at `time`, or at the current time if that is past. */
  at(time: number, run: () => void): CancelAction {
    const scheduled = { at: Math.max(time, this.clock), order: this.nextOrder, run, cancelled: false };
    this.nextOrder += 1;
    this.heap.push(scheduled);
    this.moveUp(this.heap.length - 1);
    return () => {
      scheduled.cancelled = true;
    };
  }

  /** Schedules `run` after `delay`. */
  after(delay: number, run: () => void): CancelAction {
    return this.at(this.clock + delay, run);
  }

  /** Runs all actions due up to and including `end`, then sets the clock to it; stops earlier once `isOver` returns `true`. */
  runUntil(end: number, isOver: () => boolean = () => false): void {
    for (let next = this.heap[0]; next !== undefined && next.at <= end; next = this.heap[0]) {
      this.removeFirst();
      if (next.cancelled) {
        continue;
      }
      this.clock = next.at;
      next.run();
      if (isOver()) {
        return;
      }
    }
    this.clock = Math.max(this.clock, end);
  }

  private removeFirst(): void {
    const last = this.heap.pop();
    if (last !== undefined && this.heap.length > 0) {
      this.heap[0] = last;
      this.moveDown(0);
    }
  }

  private moveUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.isBefore(index, parent)) {
        return;
      }
      this.swap(index, parent);
      index = parent;
    }
  }

  private moveDown(start: number): void {
    let index = start;
    for (;;) {
      const left = index * 2 + 1;
      const right = left + 1;
      let first = index;
      if (left < this.heap.length && this.isBefore(left, first)) {
        first = left;
      }
      if (right < this.heap.length && this.isBefore(right, first)) {
        first = right;
      }
      if (first === index) {
        return;
      }
      this.swap(index, first);
      index = first;
    }
  }

  private isBefore(left: number, right: number): boolean {
    const a = this.heap[left] as ScheduledAction;
    const b = this.heap[right] as ScheduledAction;
    return a.at < b.at || (a.at === b.at && a.order < b.order);
  }

  private swap(left: number, right: number): void {
    const kept = this.heap[left] as ScheduledAction;
    this.heap[left] = this.heap[right] as ScheduledAction;
    this.heap[right] = kept;
  }
}
