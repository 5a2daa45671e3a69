/** A token bucket of permits. */
import type { MonotonicMillis } from '../../model/identifiers.js';

const MILLIS_PER_SECOND = 1000;

export class PermitBucket {
  #permits: number;
  #refilledAt: MonotonicMillis;

  /** `permits`: the initial number. */
  constructor(permits: number, now: MonotonicMillis) {
    this.#permits = permits;
    this.#refilledAt = now;
  }

  /** Adds the permits that accrued at this rate since the last refill, up to `maxPermits`. */
  fill(perSecond: number, maxPermits: number, now: MonotonicMillis): void {
    const accrued = ((now - this.#refilledAt) * perSecond) / MILLIS_PER_SECOND;
    this.#permits = Math.min(maxPermits, this.#permits + accrued);
    this.#refilledAt = Math.max(this.#refilledAt, now);
  }

  /** Consumes a permit; returns `false` if there is none. */
  tryConsume(): boolean {
    if (this.#permits < 1) {
      return false;
    }
    this.#permits -= 1;
    return true;
  }

  /** Milliseconds from the last refill until `count` permits are available at this rate. */
  millisUntil(count: number, perSecond: number): number {
    return (Math.max(0, count - this.#permits) * MILLIS_PER_SECOND) / perSecond;
  }

  /** The time at which `count` permits are available at this rate. */
  availableAt(count: number, perSecond: number): MonotonicMillis {
    return this.#refilledAt + this.millisUntil(count, perSecond);
  }
}
