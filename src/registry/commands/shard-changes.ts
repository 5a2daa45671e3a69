/** Changes of single shards, shared by several commands. */
import type { ShardId, UpstreamId } from '../../model/identifiers.js';
import type { RegistryState, Transaction } from '../registry-state.js';
import type { ShardRecord, UpstreamRecord } from '../types.js';

/** Whether an upstream may own a shard of this service and keyspace: it serves the service, isn't leaving, and may hold the keyspace. */
export function mayOwn(
  state: RegistryState,
  { definition }: UpstreamRecord,
  { service, keyspace }: { readonly service: string; readonly keyspace: string },
): boolean {
  const allowed = definition.mayHold.length === 0 || definition.mayHold.includes(keyspace);
  return definition.service === service && !state.isLeaving(definition) && allowed;
}

/**
 * Removes the owner of a shard. The epoch and the target of a planned move remain, so that the next grant goes to the target.
 * A shard of an older generation is deleted.
 */
export function releaseShard(transaction: Transaction, record: ShardRecord): void {
  const { shard } = record;
  if (transaction.state.shards.currentParts(shard) === undefined) {
    transaction.putShard(shard, null);
    return;
  }
  const { revision } = transaction;
  transaction.putShard(shard, { ...record, owner: null, incarnation: null, revision });
}

/** Removes the owner of every shard of an upstream whose session has ended. */
export function releaseAllOf(transaction: Transaction, upstream: UpstreamId): void {
  for (const record of recordsOf(transaction, transaction.state.shards.ownedBy(upstream))) {
    releaseShard(transaction, record);
  }
}

/** Cancels every planned move to an upstream that can't own new shards any more. */
export function cancelMovesTo(transaction: Transaction, upstream: UpstreamId): void {
  for (const record of recordsOf(transaction, transaction.state.shards.movingTo(upstream))) {
    setTarget(transaction, record, null);
  }
}

/** Sets or clears the target of a planned move. */
export function setTarget(transaction: Transaction, record: ShardRecord, target: UpstreamId | null): void {
  transaction.putShard(record.shard, { ...record, movingTo: target, revision: transaction.revision });
}

/** Returns a copy, because the index changes during iteration. */
function recordsOf(transaction: Transaction, shards: ReadonlySet<ShardId>): ShardRecord[] {
  return [...shards].flatMap((shard) => transaction.state.shards.get(shard) ?? []);
}
