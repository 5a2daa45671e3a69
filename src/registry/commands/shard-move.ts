/** Moves a shard on an operator's command, which replaces a planned move in progress. */
import type { Transaction } from '../registry-state.js';
import type { CommandResult, OperatorCommand, ShardRecord } from '../types.js';
import { accepted, checkExpected, invalid, NOT_FOUND } from './results.js';
import { mayOwn, setTarget } from './shard-changes.js';

type ShardMove = Extract<OperatorCommand, { type: 'shard-move' }>;

/**
 * An unowned shard is granted to the target next. Moving a shard to its owner cancels a planned move.
 */
export function moveShard(transaction: Transaction, command: ShardMove): CommandResult {
  const { state } = transaction;
  const { shard, to } = command;
  const parts = state.shards.currentParts(shard);
  const stored = state.shards.get(shard);
  const mismatch = checkExpected(command.expected, stored);
  if (mismatch !== undefined) {
    return mismatch;
  }
  if (parts === undefined) {
    return stored === undefined ? NOT_FOUND : invalid(`shard: ${shard} is of an older key map`);
  }
  const target = state.upstreams.get(to);
  if (target === undefined || !mayOwn(transaction.state, target, parts)) {
    return invalid(`to: upstream ${to} doesn't exist, is leaving or may not hold ${parts.keyspace}`);
  }
  const record = stored ?? ungrantedRecord(shard);
  const movingTo = record.owner === to ? null : to;
  if (record.movingTo !== movingTo) {
    setTarget(transaction, record, movingTo);
  }
  return accepted(transaction);
}

function ungrantedRecord(shard: string): ShardRecord {
  return { shard, owner: null, incarnation: null, epoch: 0, movingTo: null, revision: 0 };
}
