/** Starts planned moves. The owner keeps each shard until it releases it. */
import type { RegistryState, Transaction } from '../registry-state.js';
import type { CommandResult, LeaderCommand, ShardRecord } from '../types.js';
import { acceptedIfAny } from './results.js';
import { mayOwn, setTarget } from './shard-changes.js';

type MoveStart = Extract<LeaderCommand, { type: 'move-start' }>;
type Move = MoveStart['moves'][number];

export function startMoves(transaction: Transaction, command: MoveStart): CommandResult {
  let started = 0;
  for (const move of command.moves) {
    const record = movableRecord(transaction.state, move);
    if (record !== undefined) {
      setTarget(transaction, record, move.to);
      started += 1;
    }
  }
  return acceptedIfAny(transaction, started);
}

/** Returns the shard's record if it is owned at the given epoch, isn't moving, and the target can own it now. */
function movableRecord(state: RegistryState, move: Move): ShardRecord | undefined {
  const parts = state.shards.currentParts(move.shard);
  const record = state.shards.get(move.shard);
  const target = state.upstreams.get(move.to);
  if (parts === undefined || record === undefined || target === undefined) {
    return undefined;
  }
  const isOwned = record.owner !== null && record.epoch === move.epoch;
  const isMove = record.owner !== move.to && record.movingTo === null;
  const canTake = target.incarnation !== null && mayOwn(state, target, parts);
  return isOwned && isMove && canTake ? record : undefined;
}
