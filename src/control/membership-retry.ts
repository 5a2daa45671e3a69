/** When the leader may propose the next membership change after the Raft core rejected one. */
import type { MonotonicMillis } from '../model/identifiers.js';

/** How often a change that waits for a replica is checked. */
export const MEMBERSHIP_POLL_MILLIS = 50;

/** The control core runs its parts many times within one step, so a rejected proposal is retried only at the next poll. */
export class MembershipRetry {
  #notBefore: MonotonicMillis = Number.NEGATIVE_INFINITY;

  onRejected(now: MonotonicMillis): void {
    this.#notBefore = now + MEMBERSHIP_POLL_MILLIS;
  }

  isDue(now: MonotonicMillis): boolean {
    return now >= this.#notBefore;
  }
}
