/** Results that many commands give, and the compare-and-set on revisions. */
import type { Revision } from '../../model/identifiers.js';
import type { Transaction } from '../registry-state.js';
import type { CommandResult } from '../types.js';

/** The command was carried out, at the revision of its entry. */
export function accepted(transaction: Transaction): CommandResult {
  return { type: 'accepted', revision: transaction.revision };
}

/** Compare-and-set lost against `current`. */
export function conflict(current: Revision): CommandResult {
  return { type: 'conflict', current };
}

/** What the command names does not exist. */
export const NOT_FOUND: CommandResult = { type: 'not-found' };

/** The command can never be carried out as it is. */
export function invalid(message: string): CommandResult {
  return { type: 'invalid', message };
}

/**
 * Compares what an operator saw with what is there; `undefined` if they agree.
 * `expected` `null` agrees with anything, 0 only with a thing that doesn't exist.
 */
export function checkExpected(
  expected: Revision | null,
  record: { readonly revision: Revision } | undefined,
): CommandResult | undefined {
  const current = record?.revision ?? 0;
  return expected === null || expected === current ? undefined : conflict(current);
}

/** For a command over many shards: a stale one that changed nothing is a conflict. */
export function acceptedIfAny(transaction: Transaction, count: number): CommandResult {
  return count > 0 ? accepted(transaction) : conflict(transaction.state.revision);
}
