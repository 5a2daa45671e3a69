/**
 * Takes an upstream out of the picking for a while when this router's own requests to it fail. Only own evidence counts,
 * and no more than a share of a service's upstreams is out at a time, so that a fault of the router's side empties nothing.
 */

const CONSECUTIVE_FAILURES = 3;
const BASE_EJECTION_MILLIS = 1000;
const LONGEST_EJECTION_MILLIS = 30_000;
/** Largest share of a service's upstreams that may be out at once. */
const LARGEST_EJECTED_SHARE = 0.5;
/** Success for this long after an ejection forgets it. */
const FORGET_AFTER_MILLIS = 60_000;

export class OutlierEjection {
  private consecutiveFailures = 0;
  private ejections = 0;
  /** Nothing succeeded since the latest ejection: the next failure ejects again. */
  private isOnTrial = false;
  private until = Number.NEGATIVE_INFINITY;

  isEjected(now: number): boolean {
    return now < this.until;
  }

  /** End of the latest ejection; `-Infinity` if there was none. */
  get ejectedUntil(): number {
    return this.until;
  }

  succeeded(now: number): void {
    this.consecutiveFailures = 0;
    this.isOnTrial = false;
    if (now - this.until > FORGET_AFTER_MILLIS) {
      this.ejections = 0;
    }
  }

  /**
   * Counts a failure; `true` if it ejects the upstream.
   *
   * @param ejectedNow upstreams of the service that are out already
   * @param total upstreams of the service
   */
  failed(now: number, ejectedNow: number, total: number): boolean {
    this.consecutiveFailures += 1;
    const mayEject = (ejectedNow + 1) / total <= LARGEST_EJECTED_SHARE;
    const needed = this.isOnTrial ? 1 : CONSECUTIVE_FAILURES;
    if (this.isEjected(now) || this.consecutiveFailures < needed || !mayEject) {
      return false;
    }
    this.ejections += 1;
    this.consecutiveFailures = 0;
    this.isOnTrial = true;
    this.until = now + Math.min(LONGEST_EJECTION_MILLIS, BASE_EJECTION_MILLIS * 2 ** (this.ejections - 1));
    return true;
  }
}
