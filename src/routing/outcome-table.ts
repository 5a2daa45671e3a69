/** Outcome and HTTP status of requests that the router answers itself. */
import type { Outcome } from '../model/outcome.js';
import type { RefusalReason } from './types.js';

/**
 * State of the caller's idempotency key in the ledger.
 * `not-needed`: the request may be repeated or has no key. `silent`: the ledger has not answered yet, so another request with
 * the same key may have run through another router. `granted`: nothing ran under this key before. `other-request`: the key
 * belongs to a different request.
 */
export type LedgerWord = 'not-needed' | 'silent' | 'granted' | 'other-request';

/** Inputs of `outcomeOf`. */
export interface OutcomeFacts {
  readonly ledger: LedgerWord;
  /** Whether an attempt is in flight, or one ended without proof that it did not run. */
  readonly mayHaveRun: boolean;
}

/**
 * Outcome by the given facts:
 *
 * | may have run | ledger                                | outcome |
 * | yes          | -                                     | unknown |
 * | no           | not-needed, granted or other-request  | not-run |
 * | no           | silent                                | unknown |
 *
 * The last row covers a caller that resends an order because the first answer was lost. The outcome refers to the order, not to
 * this one request: `not-run` because this router could not reach the ledger would be false if the first request ran.
 */
export function outcomeOf(facts: OutcomeFacts): Outcome {
  return facts.mayHaveRun || facts.ledger === 'silent' ? 'unknown' : 'not-run';
}

const STATUS_OF_REASON: Readonly<Record<RefusalReason, number>> = {
  'no-configuration': 503,
  'unknown-service': 404,
  'unknown-route': 404,
  'key-required': 400,
  'idempotency-key-required': 400,
  'idempotency-key-mismatch': 422,
  'idempotency-key-expired': 409,
  'still-running': 409,
  'outcome-unknown': 409,
  'ledger-unavailable': 503,
  'no-owner': 503,
  'no-upstream': 503,
  'no-path': 503,
  'upstream-limited': 503,
  'upstream-resting': 503,
  'queue-full': 503,
  'link-full': 503,
  'gave-way': 503,
  'would-miss-deadline': 503,
  stopping: 503,
  'deadline-passed': 504,
  'policy-refused': 429,
  'upstream-failed': 503,
  quarantined: 503,
  'retry-budget-spent': 503,
  'attempts-spent': 503,
};

const BAD_GATEWAY = 502;
const SERVICE_UNAVAILABLE = 503;

/** Statuses that callers read as a promise that the request has not run and never will. */
const PROMISING_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether callers read a status as a promise that the request has not run. */
export function promisesNotRun(status: number): boolean {
  return PROMISING_STATUSES.has(status);
}

/** HTTP status of a refusal. A request that may have run on an upstream never gets a status that promises otherwise. */
export function statusOf(reason: RefusalReason, mayHaveRun: boolean): number {
  const status = STATUS_OF_REASON[reason];
  if (reason === 'deadline-passed' && !mayHaveRun) {
    return SERVICE_UNAVAILABLE;
  }
  return mayHaveRun && promisesNotRun(status) ? BAD_GATEWAY : status;
}
