/** The clocks of one simulated process, which deviate from the true time of the simulation. */
import type { ClockSources } from '../../clock/suspension-watch.js';
import type { EventQueue } from '../virtual/event-queue.js';

/** Maximum rate error of one process's clock; two clocks differ by at most twice this. */
export const MAX_CLOCK_RATE_ERROR = 0.0024;

/**
 * A process's own clocks: a monotonic clock with an offset and a rate error, which stops while the machine is suspended; the time
 * since boot, which doesn't stop; and a wall clock with a skew.
 */
export class ProcessClock {
  private suspendedSince: number | null = null;
  private suspendedFor = 0;

  constructor(
    private readonly clock: EventQueue,
    private readonly offset: number,
    private readonly rate: number,
    private readonly wallSkew: number,
  ) {}

  /** Current monotonic time in milliseconds. */
  monotonic(): number {
    const until = this.suspendedSince ?? this.clock.now;
    return this.offset + (until - this.suspendedFor) * this.rate;
  }

  /** Milliseconds since the machine was started, suspensions included. */
  sinceBoot(): number {
    return this.offset + this.clock.now * this.rate;
  }

  /** Stops the monotonic clock when the machine is suspended. */
  suspend(): void {
    this.suspendedSince ??= this.clock.now;
  }

  /** Restarts the monotonic clock when the machine resumes. */
  resume(): void {
    if (this.suspendedSince !== null) {
      this.suspendedFor += this.clock.now - this.suspendedSince;
      this.suspendedSince = null;
    }
  }

  /** Both steady clocks, in the form in which a process reads them. */
  sources(): ClockSources {
    return { monotonic: () => this.monotonic(), sinceBoot: () => this.sinceBoot() };
  }

  /** Current wall-clock time in milliseconds. */
  wall(): number {
    return Math.floor(WALL_CLOCK_START + this.wallSkew + this.clock.now);
  }

  /** The true time at which the monotonic clock shows `monotonic`, rounded up. */
  trueTime(monotonic: number): number {
    return (monotonic - this.offset) / this.rate + this.suspendedFor + ROUNDING_MILLIS;
  }
}

/** Wall-clock time at the start of a simulation. */
const WALL_CLOCK_START = 1_700_000_000_000;
/** Added so that rounding never fires a timer before its deadline on the process's clock. */
const ROUNDING_MILLIS = 0.001;
