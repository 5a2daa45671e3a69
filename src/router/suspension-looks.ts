/** Looks now and then whether the machine was suspended, cheaply enough for each step of a router. */
import { PROCESS_CLOCKS } from '../clock/lease-clock.js';
import { type ClockSources, SuspensionWatch } from '../clock/suspension-watch.js';
import type { MonotonicMillis, WallMillis } from '../model/identifiers.js';

/** A look takes about 5 microseconds; 200 a second are 0.1 % of a core. */
const LOOK_MILLIS = 5;
/** The time of day counts suspensions too: one that moved so far is looked into at once. */
const WALL_MOVE_MILLIS = 25;
/** More suspensions than this in the time below are none: the time since boot is not that of this machine. */
const MOST_SUSPENSIONS = 5;
const WINDOW_MILLIS = 10_000;

export class SuspensionLooks {
  readonly #watch: SuspensionWatch;
  #lookedAt: MonotonicMillis = Number.NEGATIVE_INFINITY;
  #wallDifference = 0;
  readonly #told: MonotonicMillis[] = [];
  #isOff = false;

  constructor(sources: ClockSources = PROCESS_CLOCKS) {
    this.#watch = new SuspensionWatch(sources);
  }

  /** Milliseconds of a suspension that was found just now; 0: none. */
  find(now: MonotonicMillis, wall: WallMillis): number {
    const difference = wall - now;
    const hasMoved = Math.abs(difference - this.#wallDifference) >= WALL_MOVE_MILLIS;
    if (this.#isOff || (now - this.#lookedAt < LOOK_MILLIS && !hasMoved)) {
      return 0;
    }
    this.#lookedAt = now;
    this.#wallDifference = difference;
    const millis = this.#watch.look();
    return millis > 0 && this.#isPlausible(now) ? millis : 0;
  }

  #isPlausible(now: MonotonicMillis): boolean {
    this.#told.push(now);
    if (this.#told.length > MOST_SUSPENSIONS) {
      const first = this.#told.shift() as MonotonicMillis;
      this.#isOff = now - first < WINDOW_MILLIS;
    }
    return !this.#isOff;
  }
}
