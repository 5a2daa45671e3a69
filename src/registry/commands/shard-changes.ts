/** Changes of single shards that several commands make. */
import type { ShardId, UpstreamId } from '../../model/identifiers.js';
import type { RegistryState, Transaction } from '../registry-state.js';
import type { ShardRecord, UpstreamRecord } from '../types.js';

/** Whether an upstream may own a shard of this service and keyspace: declared, not leaving, allowed the keyspace. */
export function mayOwn(
  state: RegistryState,
  { definition }: UpstreamRecord,
  { service, keyspace }: { readonly service: string; readonly keyspace: string },
): boolean {
  const allowed = definition.mayHold.length === 0 || definition.mayHold.includes(keyspace);
  return definition.service === service && !state.isLeaving(definition) && allowed;
}

/**
 * Takes the owner off a shard. The epoch and the target of a planned move stay, so that the next grant goes there.
 * A shard of an older generation goes for good.
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

/** Takes the owner off every shard of an upstream: its session is over. */
export function releaseAllOf(transaction: Transaction, upstream: UpstreamId): void {
  for (const record of recordsOf(transaction, transaction.state.shards.ownedBy(upstream))) {
    releaseShard(transaction, record);
  }
}

/** Calls off every planned move to an upstream that can't take shards any more. */
export function cancelMovesTo(transaction: Transaction, upstream: UpstreamId): void {
  for (const record of recordsOf(transaction, transaction.state.shards.movingTo(upstream))) {
    setTarget(transaction, record, null);
  }
}

/** Sets or clears the target of a planned move. */
export function setTarget(transaction: Transaction, record: ShardRecord, target: UpstreamId | null): void {
  transaction.putShard(record.shard, { ...record, movingTo: target, revision: transaction.revision });
}

/** A copy, because the index changes under way. */
function recordsOf(transaction: Transaction, shards: ReadonlySet<ShardId>): ShardRecord[] {
  return [...shards].flatMap((shard) => transaction.state.shards.get(shard) ?? []);
}
