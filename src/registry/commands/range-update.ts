/** Sets or removes the owners of ranges of numeric keys. */
import type { Transaction } from '../registry-state.js';
import type { CommandResult, LeaderCommand } from '../types.js';
import { acceptedIfAny } from './results.js';

type RangeUpdateCommand = Extract<LeaderCommand, { type: 'range-update' }>;

export function updateRanges(transaction: Transaction, command: RangeUpdateCommand): CommandResult {
  const { state, revision } = transaction;
  const changes = state.ranges.update(command.service, command.updates, revision);
  transaction.noteAll(changes);
  return acceptedIfAny(transaction, changes.length);
}
