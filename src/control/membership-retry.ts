/** When a leader may propose the next change of the membership after the Raft core refused one. */
import type { MonotonicMillis } from '../model/identifiers.js';

/** How often a change that waits for a replica is looked at. */
export const MEMBERSHIP_POLL_MILLIS = 50;

/** The control core settles many times within one step: a refused proposal is tried again at the next poll only. */
export class MembershipRetry {
  #notBefore: MonotonicMillis = Number.NEGATIVE_INFINITY;

  refused(now: MonotonicMillis): void {
    this.#notBefore = now + MEMBERSHIP_POLL_MILLIS;
  }

  isDue(now: MonotonicMillis): boolean {
    return now >= this.#notBefore;
  }
}
