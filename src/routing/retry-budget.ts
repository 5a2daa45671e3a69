/** Bounds retries to a share of first attempts, so that a failing service isn't hit by a multiple of its load. */

/** Retries that may be saved up, so that a quiet service may still retry. */
const SAVED_RETRIES = 10;

export interface RetryBudget {
  /** A first attempt was made. */
  firstAttempt(): void;
  /** Takes one retry out of the budget; `false` if there is none. */
  tryRetry(): boolean;
}

export class TokenRetryBudget implements RetryBudget {
  private tokens = SAVED_RETRIES;

  /** `ratio`: retries as a share of first attempts. */
  constructor(private ratio: number) {
    this.tokens = ratio > 0 ? SAVED_RETRIES : 0;
  }

  /** Takes over a new ratio from the configuration. */
  resize(ratio: number): void {
    this.ratio = ratio;
    this.tokens = ratio > 0 ? this.tokens : 0;
  }

  firstAttempt(): void {
    this.tokens = Math.min(SAVED_RETRIES, this.tokens + this.ratio);
  }

  tryRetry(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
