/** Changes the policy of a service. A resend is the same command even if other fields of the service have changed meanwhile. */
import type { Transaction } from '../registry-state.js';
import type { CommandResult, OperatorCommand } from '../types.js';
import { checkExpected, NOT_FOUND } from './results.js';
import { applyService } from './service-apply.js';

type PolicyApply = Extract<OperatorCommand, { type: 'policy-apply' }>;

export function applyPolicy(transaction: Transaction, command: PolicyApply): CommandResult {
  const record = transaction.state.services.get(command.service);
  const mismatch = checkExpected(command.expected, record);
  if (mismatch !== undefined) {
    return mismatch;
  }
  if (record === undefined) {
    return NOT_FOUND;
  }
  const definition = { ...record.definition, policy: command.policy };
  return applyService(transaction, { type: 'service-apply', definition, expected: command.expected });
}
