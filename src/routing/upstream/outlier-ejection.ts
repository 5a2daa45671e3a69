/**
 * Excludes an upstream from picking for a while when this router's requests to it fail. Only the router's own requests count, and at most a share
 * of a service's upstreams is ejected at a time, so that a fault on the router's side can't exclude all of them.
 */

const CONSECUTIVE_FAILURES = 3;
const BASE_EJECTION_MILLIS = 1000;
const MAX_EJECTION_MILLIS = 30_000;
/** Maximum share of a service's upstreams that is ejected at a time. */
const MAX_EJECTED_SHARE = 0.5;
/** A success this long after the end of an ejection resets the ejection count. */
const EJECTION_RESET_MILLIS = 60_000;

export class OutlierEjection {
  private consecutiveFailures = 0;
  private ejections = 0;
  /** Whether no request has succeeded since the latest ejection: the next failure ejects again. */
  private isOnTrial = false;
  private until = Number.NEGATIVE_INFINITY;
  private beganAt = Number.NEGATIVE_INFINITY;

  isEjected(now: number): boolean {
    return now < this.until;
  }

  /** End of the latest ejection; `-Infinity` if there was none. */
  get ejectedUntil(): number {
    return this.until;
  }

  /** Beginning of the latest ejection; `-Infinity` if there was none. */
  get ejectedAt(): number {
    return this.beganAt;
  }

  succeeded(now: number): void {
    this.consecutiveFailures = 0;
    this.isOnTrial = false;
    if (now - this.until > EJECTION_RESET_MILLIS) {
      this.ejections = 0;
    }
  }

  /**
   * Records a failure. Returns `true` if it ejects the upstream.
   *
   * @param ejectedNow number of the service's upstreams that are already ejected
   * @param total number of the service's upstreams
   */
  failed(now: number, ejectedNow: number, total: number): boolean {
    this.consecutiveFailures += 1;
    const mayEject = (ejectedNow + 1) / total <= MAX_EJECTED_SHARE;
    const threshold = this.isOnTrial ? 1 : CONSECUTIVE_FAILURES;
    if (this.isEjected(now) || this.consecutiveFailures < threshold || !mayEject) {
      return false;
    }
    this.ejections += 1;
    this.consecutiveFailures = 0;
    this.isOnTrial = true;
    this.beganAt = now;
    this.until = now + Math.min(MAX_EJECTION_MILLIS, BASE_EJECTION_MILLIS * 2 ** (this.ejections - 1));
    return true;
  }
}
