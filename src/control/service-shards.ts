/** Questions about the shards of keyed services, answered from the registry alone. */
import type { KeyMap, ShardOrder } from '../lease/types.js';
import { parseShardId, type ServiceName, type ShardId, type UpstreamId } from '../model/identifiers.js';
import { shardsOfKeyMap } from '../model/key-map.js';
import type { Registry, ServiceRecord, ShardRecord, UpstreamRecord } from '../registry/types.js';

/** One keyed service with everything that placement looks at, in a stable order. */
export interface ServiceShards {
  readonly service: ServiceRecord;
  readonly upstreams: readonly UpstreamRecord[];
  /** Every shard of the current generation; those never granted have a record without owner at epoch 0. */
  readonly current: readonly ShardRecord[];
  /** Shards of older generations which still have an owner. */
  readonly retiring: readonly ShardRecord[];
}

/** Reads all keyed services out of the registry. */
export function keyedServices(registry: Registry): ServiceShards[] {
  const services = [...registry.services().values()].filter((service) => service.definition.keyed);
  const retiring = groupRetiring(registry);
  return services.map((service) => ({
    service,
    upstreams: upstreamsOf(registry, service.definition.name),
    current: shardsOfKeyMap(keyMapOf(service)).map((shard) => recordOf(registry, shard)),
    retiring: retiring.get(service.definition.name) ?? [],
  }));
}

export function keyMapOf({ definition, generation }: ServiceRecord): KeyMap {
  return { service: definition.name, generation, keyspaces: definition.keyspaces };
}

/** Whether operators let an upstream hold a shard. */
export function mayHold({ definition }: UpstreamRecord, shard: ShardId): boolean {
  const parts = parseShardId(shard);
  const isAllowed = definition.mayHold.length === 0 || definition.mayHold.includes(parts?.keyspace ?? '');
  return parts?.service === definition.service && isAllowed && !definition.leaving;
}

/** Tells the owner to stop new work on a shard. Its revision is above that of the grant in every case. */
export function revokeOrder(record: ShardRecord, service: ServiceRecord): ShardOrder {
  const parts = parseShardId(record.shard);
  const remapped = parts?.generation === service.generation ? 0 : service.generation;
  const revision = Math.max(record.revision, remapped, record.epoch + 1);
  return { type: 'revoke', shard: record.shard, revision };
}

export function grantOrder({ shard, epoch }: ShardRecord): ShardOrder {
  return { type: 'grant', shard, epoch, revision: epoch };
}

export function warmOrder({ shard, revision }: ShardRecord): ShardOrder {
  return { type: 'warm', shard, revision };
}

/** Shards that each upstream owns or is about to get, without those it is about to give up. */
export function shardCounts({ upstreams, current }: ServiceShards): Map<UpstreamId, number> {
  const counts = new Map(upstreams.map(({ definition }) => [definition.id, 0]));
  for (const { owner, movingTo } of current) {
    const holder = movingTo ?? owner;
    if (holder !== null) {
      counts.set(holder, (counts.get(holder) ?? 0) + 1);
    }
  }
  return counts;
}

function upstreamsOf(registry: Registry, service: ServiceName): UpstreamRecord[] {
  return [...registry.upstreams().values()]
    .filter(({ definition }) => definition.service === service)
    .sort((left, right) => compareText(left.definition.id, right.definition.id));
}

function recordOf(registry: Registry, shard: ShardId): ShardRecord {
  return (
    registry.shards().get(shard) ?? {
      shard,
      owner: null,
      incarnation: null,
      epoch: 0,
      movingTo: null,
      revision: 0,
    }
  );
}

function groupRetiring(registry: Registry): Map<ServiceName, ShardRecord[]> {
  const groups = new Map<ServiceName, ShardRecord[]>();
  for (const record of registry.shards().values()) {
    const parts = parseShardId(record.shard);
    const generation = registry.services().get(parts?.service ?? '')?.generation;
    if (parts !== undefined && record.owner !== null && parts.generation !== generation) {
      groups.set(parts.service, [...(groups.get(parts.service) ?? []), record]);
    }
  }
  return groups;
}

/** Order of identifiers by code unit, the same on every machine. */
export function compareText(left: string, right: string): number {
  return left < right ? -1 : Number(left > right);
}
