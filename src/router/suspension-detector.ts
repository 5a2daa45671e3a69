/** Detects suspensions of the machine, cheaply enough to be called on each step of a router. */
import { PROCESS_CLOCKS } from '../clock/lease-clock.js';
import { type ClockSources, SuspensionWatch } from '../clock/suspension-watch.js';
import type { MonotonicMillis, WallMillis } from '../model/identifiers.js';

/**
 * Time between two checks of the clocks. A check takes 5 microseconds in hot code and 15 in a router with 25 requests a second, where 200
 * checks a second took 3 to 5 % of its processor time (profile of 8 s). One a second keeps the reference fresh; a suspension shows at once
 * as a jump of the wall clock.
 */
const CHECK_INTERVAL_MILLIS = 1000;
/** Smallest jump of the wall clock, which includes suspensions and counts whole milliseconds, that triggers a check. */
const MIN_WALL_JUMP_MILLIS = 20;

export class SuspensionDetector {
  readonly #watch: SuspensionWatch;
  #checkedAt: MonotonicMillis = Number.NEGATIVE_INFINITY;
  /** Wall clock minus monotonic clock at the last check. */
  #wallOffset = Number.POSITIVE_INFINITY;

  constructor(sources: ClockSources = PROCESS_CLOCKS) {
    this.#watch = new SuspensionWatch(sources);
  }

  /**
   * Returns the length of a suspension detected by this call in milliseconds, or 0. Both the time since boot and the wall clock must have
   * jumped: the boot time alone may be that of a host machine, whose pauses would look like suspensions of this one, and the wall clock
   * alone is adjusted now and then. If the wall clock is set back while the machine resumes, the suspension is missed, which costs as much
   * as a lost sync.
   */
  detect(now: MonotonicMillis, wall: WallMillis): number {
    const offset = wall - now;
    const hasJumped = offset - this.#wallOffset >= MIN_WALL_JUMP_MILLIS;
    if (now - this.#checkedAt < CHECK_INTERVAL_MILLIS && !hasJumped) {
      return 0;
    }
    this.#checkedAt = now;
    this.#wallOffset = offset;
    const millis = this.#watch.look();
    return hasJumped ? millis : 0;
  }
}
