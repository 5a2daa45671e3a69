/**
 * Back-off of this router at one run of an upstream, which requested it when it rejected a request. Nothing is sent before the back-off is over.
 * Then a single trial request is sent, and the others follow once it is answered without a new back-off.
 */
import type { MonotonicMillis } from '../../model/identifiers.js';
import type { AttemptNumber } from '../types.js';

/** A longer back-off is cut to this; an upstream that needs more can request it again. */
export const MAX_BACKOFF_MILLIS = 600_000;

export class Backoff {
  #until: MonotonicMillis = Number.NEGATIVE_INFINITY;
  /** The attempt whose answer last requested a back-off. */
  #requestedBy: AttemptNumber | null = null;
  /** Whether no trial request has been answered since the back-off was requested. */
  #isUnconfirmed = false;
  /** The attempt in flight that tests whether the back-off is over; `null` if there is none. */
  #trialAttempt: AttemptNumber | null = null;

  /** End of the back-off. */
  get until(): MonotonicMillis {
    return this.#until;
  }

  /** Whether the back-off is running, or its end isn't confirmed by an answer yet. */
  isInForce(now: MonotonicMillis): boolean {
    return this.#isUnconfirmed || now < this.#until;
  }

  /** Starts a back-off for the answer to this attempt. Returns `false` if that answer already did. An earlier one that ends later is kept. */
  start(restMillis: number, attempt: AttemptNumber, now: MonotonicMillis): boolean {
    if (attempt === this.#requestedBy) {
      return false;
    }
    this.#requestedBy = attempt;
    this.#until = Math.max(this.#until, now + Math.min(MAX_BACKOFF_MILLIS, restMillis));
    this.#isUnconfirmed = true;
    this.#trialAttempt = null;
    return true;
  }

  admits(now: MonotonicMillis): boolean {
    return now >= this.#until && (!this.#isUnconfirmed || this.#trialAttempt === null);
  }

  /** Records a sent request; the first one after a back-off is the trial. */
  sent(attempt: AttemptNumber): void {
    if (this.#isUnconfirmed) {
      this.#trialAttempt = attempt;
    }
  }

  /** Records the end of an attempt. `isAnswered`: the upstream answered it. */
  ended(attempt: AttemptNumber, isAnswered: boolean): void {
    if (attempt !== this.#trialAttempt) {
      return;
    }
    this.#trialAttempt = null;
    this.#isUnconfirmed = !isAnswered;
  }

  /** Milliseconds until a request may be sent; 0 once the back-off has ended, even if a trial request is still open. */
  waitMillis(now: MonotonicMillis): number {
    return Math.max(0, this.#until - now);
  }
}
