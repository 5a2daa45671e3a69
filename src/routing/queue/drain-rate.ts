/**
 * How fast a queue drains, measured only while something waits in it: a quiet time says nothing about the speed of what
 * serves it. Older measurements decay; until there are some, an assumed rate stands in.
 */

const DECAY_MILLIS = 2000;
/** The assumed rate counts as much as a measurement over this time. */
const ASSUMED_WEIGHT_MILLIS = 100;
/** Items that must have been taken lately for a rate to count as measured. */
const LEAST_TAKEN = 3;

export class DrainRate {
  private taken = 0;
  private busyMillis = 0;
  /** When the last item was taken, or the first one came to an empty queue; `null`: nothing waits. */
  private since: number | null = null;

  /** Something waits from now on. */
  began(now: number): void {
    this.since ??= now;
  }

  /** Nothing waits any more, or nothing may be taken. */
  paused(): void {
    this.since = null;
  }

  /** Something else serves the queue from now on. */
  forget(): void {
    this.taken = 0;
    this.busyMillis = 0;
    this.since = null;
  }

  /** An item was taken for dispatch. */
  took(now: number): void {
    if (this.since === null) {
      this.since = now;
      return;
    }
    const elapsed = now - this.since;
    const kept = Math.exp(-elapsed / DECAY_MILLIS);
    this.taken = this.taken * kept + 1;
    this.busyMillis = this.busyMillis * kept + elapsed;
    this.since = now;
  }

  /** Whether enough was measured to go by it alone. */
  get isMeasured(): boolean {
    return this.taken >= LEAST_TAKEN;
  }

  /** Items a millisecond; `assumed` is the rate to go by while little is measured. */
  perMilli(now: number, assumed: number): number {
    const open = this.since === null ? 0 : now - this.since;
    const weighed = this.taken + assumed * ASSUMED_WEIGHT_MILLIS;
    return weighed / (this.busyMillis + open + ASSUMED_WEIGHT_MILLIS);
  }
}
