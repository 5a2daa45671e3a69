/** Operators' reads of shards. Those of one shard or one owner look at no others: a list of all may be long. */
import type { Registry, ShardRecord } from '../registry/types.js';
import type { OperatorRequest } from './types.js';

/** Which shards an operator asks for. */
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

/** Records that fit every part of the query; shards that never had an owner have none. */
export function findShards(registry: Registry, query: ShardQuery): ShardRecord[] {
  const { service, owner } = query;
  const prefix = service === null ? '' : `${service}/`;
  return candidatesOf(registry, query).filter(
    (record) => record.shard.startsWith(prefix) && (owner === undefined || record.owner === owner),
  );
}
