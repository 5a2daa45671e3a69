/** Ends the session of an incarnation whose lease has ended: its shards become unowned and planned moves to it are cancelled. */
import type { Transaction } from '../registry-state.js';
import type { CommandResult, LeaderCommand } from '../types.js';
import { accepted, conflict, NOT_FOUND } from './results.js';
import { cancelMovesTo, releaseAllOf } from './shard-changes.js';

type SessionEnd = Extract<LeaderCommand, { type: 'session-end' }>;

export function endSession(transaction: Transaction, command: SessionEnd): CommandResult {
  const { upstream, incarnation } = command;
  const record = transaction.state.upstreams.get(upstream);
  if (record === undefined) {
    return NOT_FOUND;
  }
  if (record.incarnation === null || record.incarnation !== incarnation) {
    return conflict(record.revision);
  }
  cancelMovesTo(transaction, upstream);
  releaseAllOf(transaction, upstream);
  transaction.putUpstream(upstream, { ...record, incarnation: null });
  return accepted(transaction);
}
