/**
 * The router's copy of the configuration: services, upstreams and owners of shards at one revision.
 * It never returns to a lower revision, regardless of the order in which answers arrive.
 */
import type { KeyMap } from '../lease/types.js';
import type { CrashSuspect, RequestFingerprint } from '../model/crash-suspect.js';
import type { DeclarationRecord } from '../model/declaration.js';
import type { EvacuationRecord } from '../model/evacuation.js';
import type { Revision, ServiceName, ShardId, UpstreamId, Zone } from '../model/identifiers.js';
import { shardOfKey } from '../model/key-map.js';
import type {
  RegistryChange,
  RoutingDelta,
  RoutingSnapshot,
  ServiceRecord,
  ShardRecord,
  UpstreamRecord,
} from '../registry/types.js';
import { RangeView, rangeShardId } from './range-view.js';
import { RouteTable } from './route-table.js';

export type ApplyOutcome =
  /** The view is at a new revision; `changes` lists the differences. */
  | { readonly type: 'applied'; readonly changes: readonly RegistryChange[] }
  /** The view's revision is the same or newer. */
  | { readonly type: 'not-newer' }
  /** The delta starts after the view's revision; a snapshot is needed. */
  | { readonly type: 'gap' };

const NOT_NEWER: ApplyOutcome = { type: 'not-newer' };

export class ConfigurationView {
  private held: Revision = 0;
  private readonly services = new Map<ServiceName, ServiceRecord>();
  private readonly keyMaps = new Map<ServiceName, KeyMap>();
  private readonly upstreams = new Map<UpstreamId, UpstreamRecord>();
  private readonly shards = new Map<ShardId, ShardRecord>();
  private readonly ranges = new RangeView();
  private readonly suspects = new Map<RequestFingerprint, CrashSuspect>();
  private readonly evacuations = new Map<Zone, EvacuationRecord>();
  readonly routes = new RouteTable();
  private declared: DeclarationRecord | null = null;

  /** The revision held; 0 before the first snapshot. */
  get revision(): Revision {
    return this.held;
  }

  service(name: ServiceName): ServiceRecord | undefined {
    return this.services.get(name);
  }

  upstream(id: UpstreamId): UpstreamRecord | undefined {
    return this.upstreams.get(id);
  }

  /** The upstreams of a service. */
  upstreamsOf(service: ServiceName): UpstreamRecord[] {
    return [...this.upstreams.values()].filter((record) => record.definition.service === service);
  }

  /** The record of the declared document as a whole; `null` if nothing was declared. */
  get declaration(): DeclarationRecord | null {
    return this.declared;
  }

  /** The record of a request suspected of crashing upstreams. */
  suspect(fingerprint: RequestFingerprint): CrashSuspect | undefined {
    return this.suspects.get(fingerprint);
  }

  /** Whether a zone is evacuated: its upstreams must get no new requests. */
  isEvacuated(zone: Zone): boolean {
    return this.evacuations.has(zone);
  }

  get suspectCount(): number {
    return this.suspects.size;
  }

  /** The record of a shard with its owner; `undefined` if the shard was never granted. */
  shard(shard: ShardId): ShardRecord | undefined {
    return this.shards.get(shard) ?? this.ranges.shard(shard);
  }

  /** The shard that contains a key of a service; `undefined` if none does. */
  shardOfKey(service: ServiceName, key: string): ShardId | undefined {
    if (this.ranges.has(service)) {
      return this.ranges.shardOfKey(service, key);
    }
    const keyMap = this.keyMaps.get(service);
    return keyMap === undefined ? undefined : shardOfKey(keyMap, key);
  }

  /** Whether a service has numeric keys that are owned in ranges. */
  hasRanges(service: ServiceName): boolean {
    return this.ranges.has(service);
  }

  /**
   * The name under which the load of a numeric key is reported, per key so that ranges can be split at any key; `null` for
   * services whose load is reported per shard.
   */
  keyLoadName(service: ServiceName, key: string): ShardId | null {
    return this.ranges.has(service) ? rangeShardId(service, Number(key)) : null;
  }

  /** Applies a snapshot if it is newer. */
  applySnapshot(snapshot: RoutingSnapshot): ApplyOutcome {
    if (snapshot.revision <= this.held) {
      return NOT_NEWER;
    }
    const changes = this.changesTo(snapshot);
    this.applyChanges(changes);
    this.held = snapshot.revision;
    return { type: 'applied', changes };
  }

  /** Applies a delta that starts at or before the held revision and ends after it. */
  applyDelta(delta: RoutingDelta): ApplyOutcome {
    if (delta.to <= this.held) {
      return NOT_NEWER;
    }
    if (delta.from > this.held || this.held === 0) {
      return { type: 'gap' };
    }
    this.applyChanges(delta.changes);
    this.held = delta.to;
    return { type: 'applied', changes: delta.changes };
  }

  /** The changes that lead to the snapshot; unchanged shards are left out. */
  private changesTo(snapshot: RoutingSnapshot): RegistryChange[] {
    const changes = [...this.removalsBy(snapshot), ...this.evacuationsOf(snapshot)];
    for (const record of snapshot.services) {
      changes.push({ type: 'service', name: record.definition.name, record });
    }
    for (const record of snapshot.upstreams) {
      changes.push({ type: 'upstream', id: record.definition.id, record });
    }
    for (const record of snapshot.shards) {
      if (this.shards.get(record.shard)?.revision !== record.revision) {
        changes.push({ type: 'shard', shard: record.shard, record });
      }
    }
    for (const record of snapshot.routes) {
      changes.push({ type: 'route', name: record.definition.name, record });
    }
    for (const record of snapshot.ranges) {
      changes.push({ type: 'range', service: record.service, from: record.from, record });
    }
    for (const record of snapshot.suspects ?? []) {
      changes.push({ type: 'suspect', fingerprint: record.fingerprint, record });
    }
    changes.push({ type: 'declaration', record: snapshot.declaration });
    return changes;
  }

  /** The started and ended evacuations of the snapshot. They are applied before upstreams, whose state depends on them. */
  private evacuationsOf({ evacuations = [] }: RoutingSnapshot): RegistryChange[] {
    const zones = new Set(evacuations.map(({ zone }) => zone));
    const ended = [...this.evacuations.keys()].filter((zone) => !zones.has(zone));
    return [
      ...ended.map((zone): RegistryChange => ({ type: 'evacuation', zone, record: null })),
      ...evacuations.map((record): RegistryChange => ({ type: 'evacuation', zone: record.zone, record })),
    ];
  }

  /** The removals of records that the snapshot no longer contains. */
  private removalsBy(snapshot: RoutingSnapshot): RegistryChange[] {
    if (this.held === 0) {
      return [];
    }
    const serviceNames = new Set(snapshot.services.map((record) => record.definition.name));
    const upstreamIds = new Set(snapshot.upstreams.map((record) => record.definition.id));
    const shardIds = new Set(snapshot.shards.map((record) => record.shard));
    const suspectNames = new Set(snapshot.suspects?.map(({ fingerprint }) => fingerprint));
    const goneSuspects = [...this.suspects.keys()].filter((name) => !suspectNames.has(name));
    const routeNames = new Set(snapshot.routes.map(({ definition }) => definition.name));
    const rangeStarts = new Set(snapshot.ranges.map(({ service, from }) => rangeShardId(service, from)));
    const goneRoutes = this.routes.names().filter((name) => !routeNames.has(name));
    const goneRanges = this.ranges
      .list()
      .filter((range) => !rangeStarts.has(rangeShardId(range.service, range.from)));
    const goneServices = [...this.services.keys()].filter((name) => !serviceNames.has(name));
    const goneUpstreams = [...this.upstreams.keys()].filter((id) => !upstreamIds.has(id));
    const goneShards = [...this.shards.keys()].filter((shard) => !shardIds.has(shard));
    return [
      ...goneServices.map((name): RegistryChange => ({ type: 'service', name, record: null })),
      ...goneUpstreams.map((id): RegistryChange => ({ type: 'upstream', id, record: null })),
      ...goneShards.map((shard): RegistryChange => ({ type: 'shard', shard, record: null })),
      ...goneRoutes.map((name): RegistryChange => ({ type: 'route', name, record: null })),
      ...goneSuspects.map((fingerprint): RegistryChange => ({ type: 'suspect', fingerprint, record: null })),
      ...goneRanges.map(
        ({ service, from }): RegistryChange => ({ type: 'range', service, from, record: null }),
      ),
    ];
  }

  private applyChanges(changes: readonly RegistryChange[]): void {
    for (const change of changes) {
      this.applyChange(change);
    }
    this.ranges.commit();
  }

  private applyChange(change: RegistryChange): void {
    switch (change.type) {
      case 'service':
        this.applyService(change.name, change.record);
        return;
      case 'upstream':
        put(this.upstreams, change.id, change.record);
        return;
      case 'shard':
        put(this.shards, change.shard, change.record);
        return;
      case 'route':
        this.routes.put(change.name, change.record?.definition ?? null);
        return;
      case 'declaration':
        this.declared = change.record;
        return;
      case 'range':
        this.ranges.put(change.service, change.from, change.record);
        return;
      case 'suspect':
        put(this.suspects, change.fingerprint, change.record);
        return;
      case 'evacuation':
        put(this.evacuations, change.zone, change.record);
    }
  }

  private applyService(name: ServiceName, record: ServiceRecord | null): void {
    put(this.services, name, record);
    if (record === null || !record.definition.keyed) {
      this.keyMaps.delete(name);
      return;
    }
    const { generation, definition } = record;
    this.keyMaps.set(name, { service: name, generation, keyspaces: definition.keyspaces });
  }
}

function put<Key, Value>(map: Map<Key, Value>, key: Key, value: Value | null): void {
  if (value === null) {
    map.delete(key);
  } else {
    map.set(key, value);
  }
}
