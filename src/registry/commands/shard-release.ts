/** Records that owners have released shards permanently. */
import type { Transaction } from '../registry-state.js';
import type { CommandResult, LeaderCommand } from '../types.js';
import { acceptedIfAny } from './results.js';
import { releaseShard } from './shard-changes.js';

type ShardRelease = Extract<LeaderCommand, { type: 'shard-release' }>;

export function releaseShards(transaction: Transaction, command: ShardRelease): CommandResult {
  let released = 0;
  for (const { shard, epoch } of command.releases) {
    const record = transaction.state.shards.get(shard);
    if (record !== undefined && record.owner !== null && record.epoch === epoch) {
      releaseShard(transaction, record);
      released += 1;
    }
  }
  return acceptedIfAny(transaction, released);
}
