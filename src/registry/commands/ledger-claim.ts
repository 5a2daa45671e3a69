/** Claims a ledger key for one execution of a request. */
import type { ClaimCommand } from '../../ledger/types.js';
import type { Transaction } from '../registry-state.js';
import type { CommandResult } from '../types.js';

export function claimKey(transaction: Transaction, command: ClaimCommand): CommandResult {
  const { state, revision } = transaction;
  return { type: 'claim', result: state.ledger.claim(command, revision, state.clock) };
}
