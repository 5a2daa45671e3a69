/** The interface of the checker's rules, and the promises that they check. */
import type { HistoryEvent } from './history.js';

/** The promises that the rules check. */
export const PROMISES = [
  'one-owner',
  'acknowledged-survives',
  'own-whole-answer',
  'not-run-is-true',
  'at-most-once',
  'leaving-gets-no-work',
  'planned-stop-cuts-nothing',
  'accepted-in-force',
  'crashes-bounded',
  'innocent-served',
  'needs-heeded',
  'recovers',
] as const;
export type PromiseName = (typeof PROMISES)[number];

/** A violation of a promise by the history. */
export interface Violation {
  readonly promise: PromiseName;
  readonly at: number;
  readonly message: string;
}

/** Checks events in order and returns each violation as soon as it is certain. */
export interface Rule {
  check(event: HistoryEvent): readonly Violation[];
  /** Ends the history and returns the violations that are certain only then. */
  finish(at: number): readonly Violation[];
}

export const NO_VIOLATIONS: readonly Violation[] = [];
