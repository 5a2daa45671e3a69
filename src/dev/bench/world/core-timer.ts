/** Ticks a deterministic core when it asks for it, as the daemons' shells do. */
import type { EventQueue } from '../../virtual/event-queue.js';

/** Shortest wait for a tick, the same as in the daemons. */
const LEAST_TICK_MILLIS = 1;

export class CoreTimer {
  private dueAt = Number.POSITIVE_INFINITY;

  constructor(
    private readonly queue: EventQueue,
    private readonly nextDeadline: () => number,
    private readonly tick: () => void,
  ) {}

  /** To be called after each step: sets the timer if the core wants its tick earlier than before. */
  schedule(): void {
    const deadline = this.nextDeadline();
    if (deadline >= this.dueAt) {
      return;
    }
    const dueAt = Math.max(deadline, this.queue.now + LEAST_TICK_MILLIS);
    this.dueAt = dueAt;
    this.queue.at(dueAt, () => this.fire(dueAt));
  }

  /** A timer that a sooner one replaced does nothing. */
  private fire(setFor: number): void {
    if (setFor !== this.dueAt) {
      return;
    }
    this.dueAt = Number.POSITIVE_INFINITY;
    this.tick();
  }
}
