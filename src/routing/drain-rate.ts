/** How fast a queue drains: a decaying count of completions, with the capacity of the upstreams as its floor. */

const DECAY_MILLIS = 1000;

export class DrainRate {
  private count = 0;
  private countedAt = 0;

  completed(now: number): void {
    this.count = this.decayed(now) + 1;
    this.countedAt = now;
  }

  /** Requests a millisecond. While little was asked for, few completions don't mean a slow service. */
  perMilli(now: number, capacityPerMilli: number): number {
    return Math.max(this.decayed(now) / DECAY_MILLIS, capacityPerMilli);
  }

  private decayed(now: number): number {
    return this.count * Math.exp((this.countedAt - now) / DECAY_MILLIS);
  }
}
