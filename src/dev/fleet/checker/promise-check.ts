/** Types of the checks of promises. */
import type { FleetHistory } from './fleet-history.js';

/** Names of the promises that are checked against a fleet's journals. */
export type PromiseName =
  | 'at-most-once'
  | 'whole-answers'
  | 'not-run-is-true'
  | 'ran-is-true'
  | 'single-owner'
  | 'drained'
  | 'planned-stop'
  | 'configuration-kept'
  | 'needs-heeded'
  | 'nothing-left-over';

/** One violation of a promise. */
export interface Violation {
  readonly promise: PromiseName;
  /** Human-readable description. */
  readonly message: string;
  /** Time on the machine's monotonic clock. */
  readonly at: number;
}

/** Result of the check of one promise. */
export interface PromiseResult {
  readonly promise: PromiseName;
  /** Number of items checked; 0 means that nothing was proved. */
  readonly checked: number;
  readonly violations: readonly Violation[];
}

/** Tolerances of the checks. */
export interface CheckOptions {
  /** Time after control accepted a drain in which the upstream may still start new requests. */
  readonly drainMillis: number;
  /** Requests sent less than this before a planned stop possibly did not reach the process. */
  readonly stopMarginMillis: number;
}

export const DEFAULT_CHECK_OPTIONS: CheckOptions = { drainMillis: 2000, stopMarginMillis: 100 };

export type PromiseCheck = (history: FleetHistory, options: CheckOptions) => PromiseResult;
