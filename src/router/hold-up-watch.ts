/**
 * Notices that the process was held up, by timers that fire late. A process that goes on runs its timers first and hears signals then, so a signal
 * that is heard in the same turn of the event loop may have come at any time since.
 */
import type { MonotonicMillis } from '../model/identifiers.js';

/** Timers that fire this late are no sign of it. */
const MIN_HOLD_UP_MILLIS = 50;
/** Period of the watch's own timer: a hold-up began this much before its first late timer at most. */
const LOOK_MILLIS = 100;

export class HoldUpWatch {
  /** Since when the process has been held up, in the turn in which that is noticed. */
  #since: MonotonicMillis | null = null;
  #timer: NodeJS.Timeout | undefined;
  /** When the watch's own timer fires next. */
  #due: MonotonicMillis = Number.POSITIVE_INFINITY;

  /** Sets a timer of its own, since others may be far apart. */
  start(): void {
    if (this.#timer !== undefined) {
      return;
    }
    this.#due = performance.now() + LOOK_MILLIS;
    this.#timer = setInterval(() => this.#look(), LOOK_MILLIS).unref();
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
    this.#due = Number.POSITIVE_INFINITY;
  }

  /** Called when a timer fires that was due at `due`. */
  recordTimer(due: MonotonicMillis, now: MonotonicMillis): void {
    if (now - due < MIN_HOLD_UP_MILLIS) {
      return;
    }
    this.#since = Math.min(this.#since ?? due, due);
    setImmediate(() => {
      this.#since = null;
    });
  }

  /**
   * When a signal that is heard now may have come at the earliest. Where another timer held the process up, or what was read before the signal,
   * the watch's own timer is overdue and hasn't fired yet.
   */
  earliestSignalAt(now: MonotonicMillis): MonotonicMillis {
    const since = this.#since ?? now;
    return now - this.#due < MIN_HOLD_UP_MILLIS ? since : Math.min(since, this.#due);
  }

  #look(): void {
    const now = performance.now();
    this.recordTimer(this.#due, now);
    this.#due = now + LOOK_MILLIS;
  }
}
