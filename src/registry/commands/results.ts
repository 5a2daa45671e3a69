/** Results shared by several commands, and the compare-and-set on revisions. */
import type { Revision } from '../../model/identifiers.js';
import type { Transaction } from '../registry-state.js';
import type { CommandResult } from '../types.js';

/** The command was applied at the revision of its log entry. */
export function accepted(transaction: Transaction): CommandResult {
  return { type: 'accepted', revision: transaction.revision };
}

/** The compare-and-set failed; `current` is the current revision. */
export function conflict(current: Revision): CommandResult {
  return { type: 'conflict', current };
}

/** The object of the command doesn't exist. */
export const NOT_FOUND: CommandResult = { type: 'not-found' };

/** The command can never be applied in this form. */
export function invalid(message: string): CommandResult {
  return { type: 'invalid', message };
}

/**
 * Compares an expected revision with the current record; returns `undefined` if they match and a conflict otherwise.
 * `null` matches anything, 0 only an object that doesn't exist.
 */
export function checkExpected(
  expected: Revision | null,
  record: { readonly revision: Revision } | undefined,
): CommandResult | undefined {
  const current = record?.revision ?? 0;
  return expected === null || expected === current ? undefined : conflict(current);
}

/** The result of a command over several items: one that changed nothing is stale and gives a conflict. */
export function acceptedIfAny(transaction: Transaction, count: number): CommandResult {
  return count > 0 ? accepted(transaction) : conflict(transaction.state.revision);
}
