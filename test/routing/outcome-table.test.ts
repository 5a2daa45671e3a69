/** Outcome and status of what the router answers itself. */
import { expect } from 'chai';
import { outcomeOf, promisesNotRun, statusOf } from '../../src/routing/outcome-table.js';
import type { RefusalReason } from '../../src/routing/types.js';

const REASONS: Readonly<Record<RefusalReason, true>> = {
  'no-configuration': true,
  'unknown-service': true,
  'unknown-route': true,
  'key-required': true,
  'idempotency-key-required': true,
  'idempotency-key-mismatch': true,
  'idempotency-key-expired': true,
  'still-running': true,
  'outcome-unknown': true,
  'ledger-unavailable': true,
  'no-owner': true,
  'no-upstream': true,
  'no-path': true,
  'upstream-limited': true,
  'upstream-resting': true,
  'queue-full': true,
  'link-full': true,
  'gave-way': true,
  'would-miss-deadline': true,
  stopping: true,
  'deadline-passed': true,
  'policy-refused': true,
  'upstream-failed': true,
  quarantined: true,
  'retry-budget-spent': true,
  'attempts-spent': true,
};

describe('the status of a refusal', () => {
  it('never promises that a request has not run which may have, whatever the reason', () => {
    for (const reason of Object.keys(REASONS) as RefusalReason[]) {
      expect(promisesNotRun(statusOf(reason, true)), reason).to.equal(false);
    }
  });

  it('promises it only beside the outcome not-run', () => {
    for (const ledger of ['not-needed', 'granted', 'other-request'] as const) {
      expect(outcomeOf({ ledger, mayHaveRun: true })).to.equal('unknown');
      expect(outcomeOf({ ledger, mayHaveRun: false })).to.equal('not-run');
    }
  });
});
