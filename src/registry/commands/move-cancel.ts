/** Cancels a planned move; the owner, if any, keeps the shard. */
import type { Transaction } from '../registry-state.js';
import type { CommandResult, LeaderCommand } from '../types.js';
import { accepted, conflict, NOT_FOUND } from './results.js';
import { setTarget } from './shard-changes.js';

type MoveCancel = Extract<LeaderCommand, { type: 'move-cancel' }>;

export function cancelMove(transaction: Transaction, command: MoveCancel): CommandResult {
  const record = transaction.state.shards.get(command.shard);
  if (record === undefined) {
    return NOT_FOUND;
  }
  if (record.movingTo === null || record.epoch !== command.epoch) {
    return conflict(record.revision);
  }
  setTarget(transaction, record, null);
  return accepted(transaction);
}
