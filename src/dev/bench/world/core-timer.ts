/** Ticks a deterministic core at its deadlines, as the I/O layer of the daemons does. */
import type { EventQueue } from '../../virtual/event-queue.js';

/** Minimum delay before a tick, the same as in the daemons. */
const MIN_TICK_MILLIS = 1;

export class CoreTimer {
  private dueAt = Number.POSITIVE_INFINITY;

  constructor(
    private readonly queue: EventQueue,
    private readonly nextDeadline: () => number,
    private readonly tick: () => void,
  ) {}

  /** Must be called after each step; resets the timer if the core's deadline is earlier than before. */
  schedule(): void {
    const deadline = this.nextDeadline();
    if (deadline >= this.dueAt) {
      return;
    }
    const dueAt = Math.max(deadline, this.queue.now + MIN_TICK_MILLIS);
    this.dueAt = dueAt;
    this.queue.at(dueAt, () => this.fire(dueAt));
  }

  /** Does nothing for a timer that an earlier one has replaced. */
  private fire(scheduledFor: number): void {
    if (scheduledFor !== this.dueAt) {
      return;
    }
    this.dueAt = Number.POSITIVE_INFINITY;
    this.tick();
  }
}
