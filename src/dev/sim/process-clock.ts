/** The clocks of one simulated process, which run beside the true time of the simulation. */
import type { ClockSources } from '../../clock/suspension-watch.js';
import type { EventQueue } from '../virtual/event-queue.js';

/** Largest error of the rate of one process's clock; two of them differ by at most twice this. */
export const SINGLE_CLOCK_RATE_ERROR = 0.0024;

/**
 * A process's own clocks: a monotonic one with an offset and a rate error, which stands still while its machine is suspended; the
 * time since boot, which doesn't; and a wall clock with a skew.
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

  /** Monotonic milliseconds now. */
  monotonic(): number {
    const until = this.suspendedSince ?? this.clock.now;
    return this.offset + (until - this.suspendedFor) * this.rate;
  }

  /** Milliseconds since the machine was started, suspensions included. */
  sinceBoot(): number {
    return this.offset + this.clock.now * this.rate;
  }

  /** The machine is suspended. */
  suspend(): void {
    this.suspendedSince ??= this.clock.now;
  }

  /** The machine goes on. */
  resume(): void {
    if (this.suspendedSince !== null) {
      this.suspendedFor += this.clock.now - this.suspendedSince;
      this.suspendedSince = null;
    }
  }

  /** Both clocks, as a process reads them. */
  sources(): ClockSources {
    return { steady: () => this.monotonic(), sinceBoot: () => this.sinceBoot() };
  }

  /** Wall-clock milliseconds now. */
  wall(): number {
    return Math.floor(WALL_CLOCK_START + this.wallSkew + this.clock.now);
  }

  /** The true time at which the monotonic clock shows `monotonic`, rounded up. */
  trueTime(monotonic: number): number {
    return (monotonic - this.offset) / this.rate + this.suspendedFor + ROUNDING_MILLIS;
  }
}

/** Wall-clock time at which simulations begin. */
const WALL_CLOCK_START = 1_700_000_000_000;
/** Added so that a timer never fires before its deadline by the process's clock. */
const ROUNDING_MILLIS = 0.001;
