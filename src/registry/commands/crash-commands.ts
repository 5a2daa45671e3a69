/** Commands about requests during which upstreams crashed: recording crashes, clearing, expiry, and release by operators. */
import type { CrashSuspect, QuarantineSettings, UpstreamCrash } from '../../model/crash-suspect.js';
import type { Transaction } from '../registry-state.js';
import type { CommandResult, CrashCommand, OperatorCommand } from '../types.js';
import { accepted, checkExpected, NOT_FOUND } from './results.js';

type CrashesNote = Extract<CrashCommand, { readonly type: 'crashes-note' }>;
type SuspectsClear = Extract<CrashCommand, { readonly type: 'suspects-clear' }>;
type SuspectsExpire = Extract<CrashCommand, { readonly type: 'suspects-expire' }>;
type QuarantineRelease = Extract<OperatorCommand, { readonly type: 'quarantine-release' }>;

/** Number of the latest runs listed in a record; earlier ones are only counted. */
const MAX_LISTED_RUNS = 8;

/** Records crashes. Each run counts once for a request, even if several routers report it. */
export function noteCrashes(transaction: Transaction, { crashes, terms }: CrashesNote): CommandResult {
  for (const crash of crashes) {
    noteCrash(transaction, crash, terms);
  }
  for (const { fingerprint } of transaction.state.suspects.excess(terms.mostRequests)) {
    transaction.putSuspect(fingerprint, null);
  }
  return accepted(transaction);
}

function noteCrash(transaction: Transaction, crash: UpstreamCrash, terms: QuarantineSettings): void {
  const { state, revision } = transaction;
  const { fingerprint, service, run } = crash;
  const before = state.suspects.find(fingerprint);
  if (before?.runs.includes(run)) {
    return;
  }
  const crashes = (before?.crashes ?? 0) + 1;
  transaction.putSuspect(fingerprint, {
    fingerprint,
    service,
    runs: [...(before?.runs ?? []), run].slice(-MAX_LISTED_RUNS),
    crashes,
    needed: terms.crashes,
    trialMillis: terms.trialMillis,
    ...quarantineOf(before, crash, crashes, transaction, terms),
    until: state.clock + terms.keepMillis,
    revision,
  });
}

/**
 * The router that reports the crash which starts the quarantine may retry the request once. A crash after the trial period means that
 * the trial has failed.
 */
function quarantineOf(
  before: CrashSuspect | undefined,
  { reporter }: UpstreamCrash,
  crashes: number,
  { state }: Transaction,
  terms: QuarantineSettings,
): Pick<CrashSuspect, 'quarantinedAt' | 'trialBy'> {
  if (before !== undefined && before.quarantinedAt !== null) {
    const isBeforeTrial = state.clock < before.quarantinedAt + terms.trialMillis;
    return { quarantinedAt: before.quarantinedAt, trialBy: isBeforeTrial ? before.trialBy : null };
  }
  return crashes >= terms.crashes
    ? { quarantinedAt: state.clock, trialBy: reporter }
    : { quarantinedAt: null, trialBy: null };
}

/**
 * Clears suspects whose request has succeeded, which a request that crashes its upstream never does. A suspect with a newer revision
 * than the cleared one is kept.
 */
export function clearSuspects(transaction: Transaction, { cleared }: SuspectsClear): CommandResult {
  for (const { fingerprint, revision } of cleared) {
    const suspect = transaction.state.suspects.find(fingerprint);
    if (suspect !== undefined && suspect.revision <= revision) {
      transaction.putSuspect(fingerprint, null);
    }
  }
  return accepted(transaction);
}

/**
 * Removes expired suspects. After a quarantine expires, the request is one crash short of the next quarantine, so that a harmful
 * request costs only one upstream each time, while a harmless one is cleared by succeeding or at the next expiry.
 */
export function expireSuspects(transaction: Transaction, { terms }: SuspectsExpire): CommandResult {
  const { state, revision } = transaction;
  for (const suspect of state.suspects.expired(state.clock)) {
    const isOnProbation = suspect.quarantinedAt !== null && terms.crashes > 1;
    const next: CrashSuspect | null = isOnProbation
      ? {
          ...suspect,
          crashes: terms.crashes - 1,
          needed: terms.crashes,
          quarantinedAt: null,
          trialBy: null,
          until: state.clock + terms.keepMillis,
          revision,
        }
      : null;
    transaction.putSuspect(suspect.fingerprint, next);
  }
  return accepted(transaction);
}

/** Releases a request on an operator's command; its crash count starts again at 0. */
export function releaseQuarantine(transaction: Transaction, command: QuarantineRelease): CommandResult {
  const record = transaction.state.suspects.find(command.fingerprint);
  const mismatch = checkExpected(command.expected, record);
  if (mismatch !== undefined) {
    return mismatch;
  }
  if (record === undefined) {
    return NOT_FOUND;
  }
  transaction.putSuspect(command.fingerprint, null);
  return accepted(transaction);
}
