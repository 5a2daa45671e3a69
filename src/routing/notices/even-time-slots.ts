/**
 * Time slots of one router at an upstream that limits the request rate of all routers together. Each router has one time slot per round. The
 * time slots are spread evenly over the round without communication between routers. An unused time slot expires after a while: if unused
 * ones accumulated, all routers could use theirs at the same moment.
 */
import type { MonotonicMillis } from '../../model/identifiers.js';
import { EVEN_TIME_SLOT_LIFETIME_MILLIS } from '../../model/limit-shares.js';
import type { RoundPosition } from '../../model/router-time-slots.js';

const MILLIS_PER_SECOND = 1000;

export class EvenTimeSlots {
  /** Share of a round until the next time slot; `null` before the first round. */
  #remaining: number | null = null;
  #advancedAt: MonotonicMillis = Number.NEGATIVE_INFINITY;
  /** Start of the current unused time slot; `null` if there is none. */
  #slotStartedAt: MonotonicMillis | null = null;

  /** `shift`: from 0 to below 1 and equal at all routers; it keeps the time slots at different upstreams apart. */
  constructor(private readonly shift: number) {}

  /** Advances to `now` at the given rate, which may change between calls, and makes the time slots that have started available. */
  advance({ phaseShare, routers }: RoundPosition, perSecond: number, now: MonotonicMillis): void {
    if (this.#remaining === null) {
      this.#remaining = 1 - ((phaseShare + this.shift) % 1);
      this.#advancedAt = now;
      return;
    }
    const roundMillis = (MILLIS_PER_SECOND * routers) / perSecond;
    this.#remaining -= (now - this.#advancedAt) / roundMillis;
    this.#advancedAt = now;
    if (this.#remaining <= 0) {
      const startedSlots = Math.floor(-this.#remaining) + 1;
      this.#remaining += startedSlots;
      this.#slotStartedAt = now - (1 - this.#remaining) * roundMillis;
    }
  }

  /** Whether a time slot is available. */
  isDue(now: MonotonicMillis): boolean {
    return this.#slotStartedAt !== null && now - this.#slotStartedAt < EVEN_TIME_SLOT_LIFETIME_MILLIS;
  }

  use(): void {
    this.#slotStartedAt = null;
  }
}
