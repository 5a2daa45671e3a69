/** Retries stay within their share, and within the number of retries that may be saved up. */
import { expect } from 'chai';
import { TokenRetryBudget } from '../../src/routing/capacity/retry-budget.js';

function spend(budget: TokenRetryBudget): number {
  let spent = 0;
  while (budget.tryRetry()) {
    spent += 1;
  }
  return spent;
}

describe('retry budget', () => {
  it('saves up ten retries by default, or the configured number', () => {
    expect(spend(new TokenRetryBudget(0.2))).to.equal(10);
    expect(spend(new TokenRetryBudget(0.2, 2))).to.equal(2);
    expect(spend(new TokenRetryBudget(0, 2))).to.equal(0);
  });

  it('grants a share of first attempts, and never saves more than its maximum', () => {
    const budget = new TokenRetryBudget(0.25, 2);
    spend(budget);
    for (let request = 0; request < 4; request += 1) {
      budget.firstAttempt();
    }
    expect(spend(budget)).to.equal(1);
    for (let request = 0; request < 1000; request += 1) {
      budget.firstAttempt();
    }
    expect(spend(budget)).to.equal(2);
  });
});
