/** The fleet checker: compares what ran with what callers received and returns the violated promises. */
import type { JournalRecord } from '../../journal/records.js';
import { checkAtMostOnce } from './at-most-once.js';
import { checkConfiguration } from './configuration.js';
import { checkDrained } from './drained.js';
import { buildHistory } from './fleet-history.js';
import { checkNeedsHeeded } from './needs-heeded.js';
import { checkNotRun } from './not-run.js';
import { checkNothingLeftOver } from './nothing-left-over.js';
import { checkPlannedStop } from './planned-stop.js';
import {
  type CheckOptions,
  DEFAULT_CHECK_OPTIONS,
  type PromiseCheck,
  type PromiseResult,
} from './promise-check.js';
import { checkRan } from './ran.js';
import { checkSingleOwner } from './single-owner.js';
import { checkWholeAnswers } from './whole-answers.js';

export * from './promise-check.js';

const CHECKS: readonly PromiseCheck[] = [
  checkSingleOwner,
  checkAtMostOnce,
  checkNotRun,
  checkRan,
  checkWholeAnswers,
  checkDrained,
  checkPlannedStop,
  checkConfiguration,
  checkNeedsHeeded,
  checkNothingLeftOver,
];

/** Checks every promise over the records of one fleet. */
export function checkFleet(
  records: readonly JournalRecord[],
  options: CheckOptions = DEFAULT_CHECK_OPTIONS,
): PromiseResult[] {
  const history = buildHistory(records);
  return CHECKS.map((check) => check(history, options));
}
