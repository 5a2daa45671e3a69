/**
 * Measures how fast a queue drains, only while items are waiting in it: an idle period gives no information about the speed of the
 * upstream. Older measurements decay; until there are enough, an assumed rate is blended in.
 */

const DECAY_MILLIS = 2000;
/** The assumed rate has the weight of a measurement over this time. */
const ASSUMED_WEIGHT_MILLIS = 100;
/** Minimum number of recently dequeued items for the rate to count as measured. */
const MIN_DEQUEUED = 3;

export class DrainRate {
  private dequeued = 0;
  private busyMillis = 0;
  /** When the last item was dequeued, or the first one was added to the empty queue; `null` if nothing is waiting. */
  private since: number | null = null;

  /** Starts measuring: an item is waiting. */
  start(now: number): void {
    this.since ??= now;
  }

  /** Stops measuring: nothing is waiting, or dispatching is paused. */
  stop(): void {
    this.since = null;
  }

  /** Discards all measurements, since another upstream serves the queue from now on. */
  forget(): void {
    this.dequeued = 0;
    this.busyMillis = 0;
    this.since = null;
  }

  /** Records that an item was dequeued for dispatch. */
  recordDequeue(now: number): void {
    if (this.since === null) {
      this.since = now;
      return;
    }
    const elapsed = now - this.since;
    const decay = Math.exp(-elapsed / DECAY_MILLIS);
    this.dequeued = this.dequeued * decay + 1;
    this.busyMillis = this.busyMillis * decay + elapsed;
    this.since = now;
  }

  /** Whether there are enough measurements to rely on them alone. */
  get isMeasured(): boolean {
    return this.dequeued >= MIN_DEQUEUED;
  }

  /** Returns items per millisecond; `assumed` is the rate used while there are few measurements. */
  perMilli(now: number, assumed: number): number {
    const elapsed = this.since === null ? 0 : now - this.since;
    const weighted = this.dequeued + assumed * ASSUMED_WEIGHT_MILLIS;
    return weighted / (this.busyMillis + elapsed + ASSUMED_WEIGHT_MILLIS);
  }
}
