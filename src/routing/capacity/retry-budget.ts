/** Limits retries to a share of first attempts, so that a failing service doesn't receive a multiple of its load. */

/** Default number of retries that may be saved up, so that a service with little traffic can still retry. */
const DEFAULT_SAVED_RETRIES = 10;

export interface RetryBudget {
  /** Records a first attempt. */
  firstAttempt(): void;
  /** Takes one retry from the budget; returns `false` if it is empty. */
  tryRetry(): boolean;
}

export class TokenRetryBudget implements RetryBudget {
  private tokens: number;

  /** `ratio`: retries as a share of first attempts. `saved`: maximum number of saved retries. */
  constructor(
    private ratio: number,
    private readonly saved: number = DEFAULT_SAVED_RETRIES,
  ) {
    this.tokens = ratio > 0 ? saved : 0;
  }

  /** Applies a new ratio from the configuration. */
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
