/** Operators' queries of shards. A query of one shard or one owner doesn't iterate over all shards, which may be many. */
import type { Registry, ShardRecord } from '../registry/types.js';
import type { OperatorRequest } from './types.js';

/** An operator's query of shards. */
export type ShardQuery = Extract<OperatorRequest, { readonly type: 'get-shards' }>;

function candidatesOf(registry: Registry, { shard, owner }: ShardQuery): readonly ShardRecord[] {
  const records = registry.shards();
  if (shard !== undefined) {
    const record = records.get(shard);
    return record === undefined ? [] : [record];
  }
  if (owner !== undefined) {
    return [...registry.shardsOwnedBy(owner)].flatMap((owned) => records.get(owned) ?? []);
  }
  return [...records.values()];
}

/** Returns the records that match every part of the query. Shards that were never granted have no record. */
export function findShards(registry: Registry, query: ShardQuery): ShardRecord[] {
  const { service, owner } = query;
  const prefix = service === null ? '' : `${service}/`;
  return candidatesOf(registry, query).filter(
    (record) => record.shard.startsWith(prefix) && (owner === undefined || record.owner === owner),
  );
}
