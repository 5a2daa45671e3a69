/** The virtual time of a simulation: a heap of events, run in order of time and then of scheduling. */

interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly task: () => void;
  cancelled: boolean;
}

/** Takes back an event that hasn't run. */
export type CancelEvent = () => void;

export class VirtualClock {
  private readonly heap: ScheduledEvent[] = [];
  private currentTime = 0;
  private scheduled = 0;
  private ran = 0;

  /** True time in milliseconds since the simulation began. */
  get now(): number {
    return this.currentTime;
  }

  /** Events that have run. */
  get eventsRun(): number {
    return this.ran;
  }

  /** Runs `task` at a true time; one in the past runs next. */
  at(time: number, task: () => void): CancelEvent {
    const event = { at: Math.max(time, this.currentTime), order: this.scheduled, task, cancelled: false };
    this.scheduled += 1;
    this.push(event);
    return () => {
      event.cancelled = true;
    };
  }

  /** Runs `task` after a true delay. */
  after(delay: number, task: () => void): CancelEvent {
    return this.at(this.currentTime + delay, task);
  }

  /** Runs events up to and including `end`, or until `stop` says so. */
  runUntil(end: number, stop: () => boolean): void {
    for (let event = this.heap[0]; event !== undefined && event.at <= end; event = this.heap[0]) {
      this.pop();
      if (event.cancelled) {
        continue;
      }
      this.currentTime = event.at;
      this.ran += 1;
      event.task();
      if (stop()) {
        return;
      }
    }
    this.currentTime = Math.max(this.currentTime, end);
  }

  private push(event: ScheduledEvent): void {
    const { heap } = this;
    let index = heap.length;
    heap.push(event);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(event, heap[parent] as ScheduledEvent)) {
        break;
      }
      heap[index] = heap[parent] as ScheduledEvent;
      index = parent;
    }
    heap[index] = event;
  }

  private pop(): void {
    const { heap } = this;
    const last = heap.pop() as ScheduledEvent;
    if (heap.length === 0) {
      return;
    }
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) {
        break;
      }
      const right = child + 1;
      if (right < heap.length && isBefore(heap[right] as ScheduledEvent, heap[child] as ScheduledEvent)) {
        child = right;
      }
      if (!isBefore(heap[child] as ScheduledEvent, last)) {
        break;
      }
      heap[index] = heap[child] as ScheduledEvent;
      index = child;
    }
    heap[index] = last;
  }
}

function isBefore(left: ScheduledEvent, right: ScheduledEvent): boolean {
  return left.at < right.at || (left.at === right.at && left.order < right.order);
}

/** Largest error of the rate of one process's clock; two of them differ by at most twice this. */
export const SINGLE_CLOCK_RATE_ERROR = 0.0024;

/** A process's own clocks: a monotonic one with an offset and a rate error, and a wall clock with a skew. */
export class ProcessClock {
  constructor(
    private readonly clock: VirtualClock,
    private readonly offset: number,
    private readonly rate: number,
    private readonly wallSkew: number,
  ) {}

  /** Monotonic milliseconds now. */
  monotonic(): number {
    return this.offset + this.clock.now * this.rate;
  }

  /** Wall-clock milliseconds now. */
  wall(): number {
    return Math.floor(WALL_CLOCK_START + this.wallSkew + this.clock.now);
  }

  /** The true time at which the monotonic clock shows `monotonic`, rounded up. */
  trueTime(monotonic: number): number {
    return (monotonic - this.offset) / this.rate + ROUNDING_MILLIS;
  }
}

/** Wall-clock time at which simulations begin. */
const WALL_CLOCK_START = 1_700_000_000_000;
/** Added so that a timer never fires before its deadline by the process's clock. */
const ROUNDING_MILLIS = 0.001;
