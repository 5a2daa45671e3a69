/** Bounds retries to a share of first attempts, so that a failing service isn't hit by a multiple of its load. */

/** Retries that may be saved up, so that a quiet service may still retry, unless its definition says otherwise. */
const SAVED_RETRIES = 10;

export interface RetryBudget {
  /** A first attempt was made. */
  firstAttempt(): void;
  /** Takes one retry out of the budget; `false` if there is none. */
  tryRetry(): boolean;
}

export class TokenRetryBudget implements RetryBudget {
  private tokens: number;

  /** `ratio`: retries as a share of first attempts. `saved`: how many may be saved up. */
  constructor(
    private ratio: number,
    private readonly saved: number = SAVED_RETRIES,
  ) {
    this.tokens = ratio > 0 ? saved : 0;
  }

  /** Takes over a new ratio from the configuration. */
  resize(ratio: number): void {
    this.ratio = ratio;
    this.tokens = ratio > 0 ? this.tokens : 0;
  }

  firstAttempt(): void {
    this.tokens = Math.min(this.saved, this.tokens + this.ratio);
  }

  tryRetry(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
