/** Looks now and then whether the machine was suspended, cheaply enough for each step of a router. */
import { PROCESS_CLOCKS } from '../clock/lease-clock.js';
import { type ClockSources, SuspensionWatch } from '../clock/suspension-watch.js';
import type { MonotonicMillis, WallMillis } from '../model/identifiers.js';

/**
 * A look takes 5 microseconds in code that runs often and 15 in a router of 25 requests a second, where 200 looks a second took 3 to 5 % of
 * its processor time (a profile of 8 s). One a second keeps the reference fresh; a suspension is found by the time of day, at once.
 */
const LOOK_MILLIS = 1000;
/** The time of day counts suspensions too, in whole milliseconds. */
const LEAST_WALL_MOVE_MILLIS = 20;

export class SuspensionLooks {
  readonly #watch: SuspensionWatch;
  #lookedAt: MonotonicMillis = Number.NEGATIVE_INFINITY;
  /** The time of day beyond the monotonic clock, at the latest look. */
  #wallDifference = Number.POSITIVE_INFINITY;

  constructor(sources: ClockSources = PROCESS_CLOCKS) {
    this.#watch = new SuspensionWatch(sources);
  }

  /**
   * Milliseconds of a suspension that was found just now; 0: none. Both the time since boot and the time of day must have moved: the first one
   * alone may be the time of another machine, whose pauses would look like suspensions of this one, and the second alone is set now and
   * then. A clock that is set back as the machine wakes hides a suspension, and costs what a lost sync costs.
   */
  find(now: MonotonicMillis, wall: WallMillis): number {
    const difference = wall - now;
    const hasMoved = difference - this.#wallDifference >= LEAST_WALL_MOVE_MILLIS;
    if (now - this.#lookedAt < LOOK_MILLIS && !hasMoved) {
      return 0;
    }
    this.#lookedAt = now;
    this.#wallDifference = difference;
    const millis = this.#watch.look();
    return hasMoved ? millis : 0;
  }
}
