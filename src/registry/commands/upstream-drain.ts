/** Starts or cancels the draining of an upstream. A resend is the same command even if other fields have changed meanwhile. */
import type { Transaction } from '../registry-state.js';
import type { CommandResult, OperatorCommand } from '../types.js';
import { checkExpected, NOT_FOUND } from './results.js';
import { applyUpstream } from './upstream-apply.js';

type UpstreamDrain = Extract<OperatorCommand, { type: 'upstream-drain' }>;

export function drainUpstream(transaction: Transaction, command: UpstreamDrain): CommandResult {
  const record = transaction.state.upstreams.get(command.upstream);
  const mismatch = checkExpected(command.expected, record);
  if (mismatch !== undefined) {
    return mismatch;
  }
  if (record === undefined) {
    return NOT_FOUND;
  }
  const definition = { ...record.definition, leaving: command.leaving };
  return applyUpstream(transaction, { type: 'upstream-apply', definition, expected: command.expected });
}
