/** What the check of one promise looks like. */
import type { FleetHistory } from './fleet-history.js';

/** Names of the promises that a fleet's journals can show to be broken. */
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

/** One thing that happened and must not. */
export interface Violation {
  readonly promise: PromiseName;
  /** A sentence for people. */
  readonly message: string;
  /** When, on the machine's monotonic clock. */
  readonly at: number;
}

/** Outcome of one promise's check. */
export interface PromiseResult {
  readonly promise: PromiseName;
  /** How many things were looked at; 0 means that nothing was proved. */
  readonly checked: number;
  readonly violations: readonly Violation[];
}

/** Times that the checks allow. */
export interface CheckOptions {
  /** A leaving upstream may get new work for this long after control accepted that it leaves. */
  readonly drainMillis: number;
  /** Requests sent less than this before a planned stop may not have reached the process. */
  readonly stopMarginMillis: number;
}

export const DEFAULT_CHECK_OPTIONS: CheckOptions = { drainMillis: 2000, stopMarginMillis: 100 };

export type PromiseCheck = (history: FleetHistory, options: CheckOptions) => PromiseResult;
