/**
 * How many requests this router may have in flight on one upstream. An upstream's slots are shared by routers that
 * don't talk to each other, so each finds its share by additive increase and multiplicative decrease, from refusals
 * for overload and from the load that answers report.
 */

/** Share of the limit that is left after a sign of overload. */
const DECREASE_FACTOR = 0.5;
/** Slots gained when every slot was used once. */
const GROWTH = 0.1;
/** Reported outstanding work, as a multiple of the slots, that counts as a sign of overload. */
const OVERLOAD_RATIO = 1.5;
/** Shortest time between two decreases: answers to what was sent before the first say nothing new. */
const DECREASE_GAP_MILLIS = 50;

export class SlotLimit {
  private limit: number;
  private lastDecreaseAt = Number.NEGATIVE_INFINITY;

  constructor(private maximum: number) {
    this.limit = maximum;
  }

  /** Slots of the upstream, which all routers share. */
  get most(): number {
    return this.maximum;
  }

  /** Requests that may be in flight at once; 1 at least. */
  get slots(): number {
    return Math.max(1, Math.floor(this.limit));
  }

  /** Takes over a new number of slots from the configuration. */
  resize(maximum: number): void {
    if (maximum !== this.maximum) {
      this.maximum = maximum;
      this.limit = maximum;
    }
  }

  /** An answer came; `load` is the outstanding work that it reported and `inFlight` this router's own then. */
  answered(load: number | null, inFlight: number, now: number): void {
    if (load !== null && load > this.maximum * OVERLOAD_RATIO) {
      this.decrease(now);
      return;
    }
    // Growing a limit that isn't used would say nothing about the upstream.
    if (inFlight >= this.slots) {
      this.limit = Math.min(this.maximum, this.limit + GROWTH / this.limit);
    }
  }

  /** The upstream refused a request for overload. */
  overloaded(now: number): void {
    this.decrease(now);
  }

  private decrease(now: number): void {
    if (now - this.lastDecreaseAt >= DECREASE_GAP_MILLIS) {
      this.lastDecreaseAt = now;
      this.limit = Math.max(1, this.limit * DECREASE_FACTOR);
    }
  }
}
