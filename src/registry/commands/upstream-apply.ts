/** Declares an upstream or changes its declaration. */
import type { Transaction } from '../registry-state.js';
import type { CommandResult, OperatorCommand } from '../types.js';
import { fail } from '../validation/field-checks.js';
import { validateUpstream } from '../validation/validate-upstream.js';
import { accepted, checkExpected } from './results.js';
import { cancelMovesTo } from './shard-changes.js';

type UpstreamApply = Extract<OperatorCommand, { type: 'upstream-apply' }>;

export function applyUpstream(transaction: Transaction, command: UpstreamApply): CommandResult {
  const { state, revision } = transaction;
  const definition = validateUpstream(command.definition, (name) => state.services.get(name));
  const before = state.upstreams.get(definition.id);
  const mismatch = checkExpected(command.expected, before);
  if (mismatch !== undefined) {
    return mismatch;
  }
  if (before !== undefined && before.definition.service !== definition.service) {
    fail('service', `can't change from ${before.definition.service}; remove the upstream first`);
  }
  const incarnation = before?.incarnation ?? null;
  transaction.putUpstream(definition.id, { definition, revision, incarnation });
  if (definition.leaving) {
    cancelMovesTo(transaction, definition.id);
  }
  return accepted(transaction);
}
