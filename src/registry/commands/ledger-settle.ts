/** Records the outcome of a claimed request. */
import type { SettleCommand } from '../../ledger/types.js';
import type { Transaction } from '../registry-state.js';
import type { CommandResult } from '../types.js';
import { accepted, conflict, NOT_FOUND } from './results.js';

export function settleClaim(transaction: Transaction, command: SettleCommand): CommandResult {
  const { state, revision } = transaction;
  const result = state.ledger.settle(command, revision, state.clock);
  switch (result.type) {
    case 'settled':
      return accepted(transaction);
    case 'conflict':
      return conflict(result.record.revision);
    case 'no-claim':
      return NOT_FOUND;
  }
}
