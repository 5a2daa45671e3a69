/**
 * Limits how many requests this router may have in flight on one upstream. An upstream's slots are shared by routers that don't
 * communicate with each other, so each router finds its share by additive increase and multiplicative decrease, based on rejections for
 * overload and on the load that answers report.
 */

/** Factor applied to the limit after a sign of overload. */
const DECREASE_FACTOR = 0.5;
/** Slots gained after every slot was used once. */
const GROWTH_SLOTS = 0.1;
/** Reported outstanding requests, as a multiple of the slots, that count as a sign of overload. */
const OVERLOAD_RATIO = 1.5;
/** Minimum time between two decreases: answers to requests sent before the first one add no information. */
const MIN_DECREASE_INTERVAL_MILLIS = 50;

export class SlotLimit {
  private limit: number;
  private lastDecreaseAt = Number.NEGATIVE_INFINITY;

  constructor(private maximum: number) {
    this.limit = maximum;
  }

  /** Slots of the upstream, which all routers share. */
  get totalSlots(): number {
    return this.maximum;
  }

  /** Requests that may be in flight at once; at least 1. */
  get slots(): number {
    return Math.max(1, Math.floor(this.limit));
  }

  /** Applies a new number of slots from the configuration. */
  resize(maximum: number): void {
    if (maximum !== this.maximum) {
      this.maximum = maximum;
      this.limit = maximum;
    }
  }

  /** Handles an answer; `load` is the outstanding work that it reported, `inFlight` this router's own requests at that time. */
  onAnswer(load: number | null, inFlight: number, now: number): void {
    if (load !== null && load > this.maximum * OVERLOAD_RATIO) {
      this.decrease(now);
      return;
    }
    // A limit that isn't reached gives no information about the upstream, so it doesn't grow.
    if (inFlight >= this.slots) {
      this.limit = Math.min(this.maximum, this.limit + GROWTH_SLOTS / this.limit);
    }
  }

  /** Handles a rejection for overload. */
  onOverload(now: number): void {
    this.decrease(now);
  }

  private decrease(now: number): void {
    if (now - this.lastDecreaseAt >= MIN_DECREASE_INTERVAL_MILLIS) {
      this.lastDecreaseAt = now;
      this.limit = Math.max(1, this.limit * DECREASE_FACTOR);
    }
  }
}
