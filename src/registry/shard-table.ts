/**
 * The shards of every service, with indexes by owner and by target of a planned move, and an index of unowned shards.
 * Every change updates the indexes, so no query scans the table.
 */
import {
  formatShardId,
  parseShardId,
  type Revision,
  type ServiceName,
  type ShardId,
  type ShardParts,
  type UpstreamId,
} from '../model/identifiers.js';
import type { KeyspaceDefinition } from '../model/service.js';
import type { ServiceRecord, ShardRecord } from './types.js';

/** The current generation of one service. */
interface ServiceShards {
  readonly generation: Revision;
  /** Number of shards by keyspace name. */
  readonly shardCounts: ReadonlyMap<string, number>;
  readonly unowned: Set<ShardId>;
  /** Owned shards of older generations; the set is kept across changes of generation. */
  readonly retiredOwned: Set<ShardId>;
}

const NO_SHARDS: ReadonlySet<ShardId> = new Set();

/** Sets of shards by key; empty sets are removed. */
class SetIndex {
  private readonly sets = new Map<string, Set<ShardId>>();

  get(key: string): ReadonlySet<ShardId> {
    return this.sets.get(key) ?? NO_SHARDS;
  }

  add(key: string, shard: ShardId): void {
    const set = this.sets.get(key);
    if (set === undefined) {
      this.sets.set(key, new Set([shard]));
    } else {
      set.add(shard);
    }
  }

  remove(key: string, shard: ShardId): void {
    const set = this.sets.get(key);
    set?.delete(shard);
    if (set?.size === 0) {
      this.sets.delete(key);
    }
  }
}

export class ShardTable {
  private readonly table = new Map<ShardId, ShardRecord>();
  private readonly byOwner = new SetIndex();
  private readonly byTarget = new SetIndex();
  private readonly services = new Map<ServiceName, ServiceShards>();

  records(): ReadonlyMap<ShardId, ShardRecord> {
    return this.table;
  }

  get(shard: ShardId): ShardRecord | undefined {
    return this.table.get(shard);
  }

  ownedBy(upstream: UpstreamId): ReadonlySet<ShardId> {
    return this.byOwner.get(upstream);
  }

  movingTo(upstream: UpstreamId): ReadonlySet<ShardId> {
    return this.byTarget.get(upstream);
  }

  unowned(service: ServiceName): ReadonlySet<ShardId> {
    return this.services.get(service)?.unowned ?? NO_SHARDS;
  }

  retiredOwned(service: ServiceName): ReadonlySet<ShardId> {
    return this.services.get(service)?.retiredOwned ?? NO_SHARDS;
  }

  /** Returns the parts of the shard's id if it belongs to the current key map of its service. */
  currentParts(shard: ShardId): ShardParts | undefined {
    const parts = parseShardId(shard);
    if (parts === undefined) {
      return undefined;
    }
    const service = this.services.get(parts.service);
    const count = service?.shardCounts.get(parts.keyspace) ?? 0;
    const current = service?.generation === parts.generation && parts.number < count;
    // Rejects ids that spell the number differently ('007').
    return current && formatShardId(parts) === shard ? parts : undefined;
  }

  /** Stores a record, or removes it (`null`): the shard then counts as never granted. */
  put(shard: ShardId, record: ShardRecord | null): void {
    const before = this.table.get(shard);
    if (before !== undefined) {
      this.unlink(before);
    }
    if (record === null) {
      this.table.delete(shard);
    } else {
      this.table.set(shard, record);
      this.link(record);
    }
    this.indexByService(shard, record?.owner ?? null);
  }

  /**
   * Sets a service's key map. Each of its shards counts as unowned until a record with an owner is stored.
   * Returns the records of older generations; the calling code removes those without an owner.
   */
  setKeyMap(record: ServiceRecord): ShardRecord[] {
    const { name, keyspaces } = record.definition;
    const before = this.services.get(name);
    const older = before === undefined ? [] : this.recordsOf(name);
    const retiredOwned = before?.retiredOwned ?? new Set<ShardId>();
    for (const shard of older) {
      if (shard.owner !== null) {
        retiredOwned.add(shard.shard);
      }
    }
    this.services.set(name, {
      generation: record.generation,
      shardCounts: new Map(keyspaces.map((keyspace) => [keyspace.name, keyspace.shards])),
      unowned: new Set(allShards(name, record.generation, keyspaces)),
      retiredOwned,
    });
    return older;
  }

  /** Removes a service from the indexes; returns its records, which the calling code removes. */
  dropService(name: ServiceName): ShardRecord[] {
    const records = this.recordsOf(name);
    this.services.delete(name);
    return records;
  }

  private recordsOf(service: ServiceName): ShardRecord[] {
    const prefix = `${service}/`;
    return [...this.table.values()].filter((record) => record.shard.startsWith(prefix));
  }

  private link(record: ShardRecord): void {
    if (record.owner !== null) {
      this.byOwner.add(record.owner, record.shard);
    }
    if (record.movingTo !== null) {
      this.byTarget.add(record.movingTo, record.shard);
    }
  }

  private unlink(record: ShardRecord): void {
    if (record.owner !== null) {
      this.byOwner.remove(record.owner, record.shard);
    }
    if (record.movingTo !== null) {
      this.byTarget.remove(record.movingTo, record.shard);
    }
  }

  private indexByService(shard: ShardId, owner: UpstreamId | null): void {
    const parts = parseShardId(shard);
    const service = parts && this.services.get(parts.service);
    if (parts === undefined || service === undefined) {
      return;
    }
    const current = parts.generation === service.generation;
    setMembership(service.unowned, shard, current && owner === null);
    setMembership(service.retiredOwned, shard, !current && owner !== null);
  }
}

function setMembership(set: Set<ShardId>, shard: ShardId, member: boolean): void {
  if (member) {
    set.add(shard);
  } else {
    set.delete(shard);
  }
}

function* allShards(
  service: ServiceName,
  generation: Revision,
  keyspaces: readonly KeyspaceDefinition[],
): Iterable<ShardId> {
  for (const keyspace of keyspaces) {
    for (let number = 0; number < keyspace.shards; number += 1) {
      yield formatShardId({ service, keyspace: keyspace.name, generation, number });
    }
  }
}
