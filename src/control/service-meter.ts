/** Measures one keyed service on the leader, from the events of its coordinator. */
import { type Epoch, type MonotonicMillis, parseShardId, type ShardId } from '../model/identifiers.js';
import { BALANCE_MILLIS, type MeasuredPlanner, type PlacementMove } from '../placement/index.js';
import type { Registry, ServiceRecord, ShardRecord } from '../registry/types.js';
import { ImbalanceWatch } from './imbalance-watch.js';
import { type MoveReason, OwnershipMeasures } from './ownership-measures.js';
import type { ServiceMeasures } from './service-measures.js';

/** Returns the record of a shard that was never granted, which has none in the registry. */
export function neverGrantedRecord(shard: ShardId): ShardRecord {
  return { shard, owner: null, incarnation: null, epoch: 0, movingTo: null, revision: 0 };
}

/** Shards of older key maps get no further grant, so they aren't measured. */
export class ServiceMeter {
  readonly #registry: () => Registry;
  readonly #ownership = new OwnershipMeasures();
  #imbalance = new ImbalanceWatch();
  #service: ServiceRecord;

  constructor(registry: () => Registry, service: ServiceRecord, now: MonotonicMillis) {
    this.#registry = registry;
    this.#service = service;
    this.#ownership.begin(now);
  }

  setService(service: ServiceRecord, now: MonotonicMillis): void {
    const hasNewKeyMap = this.#service.generation !== service.generation;
    this.#service = service;
    if (hasNewKeyMap) {
      this.#imbalance = new ImbalanceWatch();
      this.#ownership.begin(now);
    }
  }

  /** Adds a shard during the scan of the registry. Nothing is placed before the scan ends, so each shard is measured up to its next grant. */
  addScanned(shard: ShardId): void {
    const record = this.#registry().shards().get(shard) ?? neverGrantedRecord(shard);
    if (record.owner === null && this.#isCurrent(shard)) {
      this.#ownership.addUnowned(record);
    }
  }

  /** Applies a change of a shard's record. To be called for every change, in the order of the log. */
  applyRecord(shard: ShardId, record: ShardRecord | null, now: MonotonicMillis): void {
    if (this.#isCurrent(shard)) {
      this.#ownership.applyRecord(record ?? neverGrantedRecord(shard), now);
    }
  }

  /** Records that the holder of a grant has reported its final release. */
  recordRelease(shard: ShardId, epoch: Epoch, now: MonotonicMillis): void {
    if (this.#isCurrent(shard)) {
      this.#ownership.recordRelease(shard, epoch, now);
    }
  }

  /** Records a planned move that the registry now contains. */
  recordMoveStart({ shard, to, reason }: PlacementMove): void {
    this.#ownership.recordMoveStart(shard, to, reasonOf(reason));
  }

  /** Returns whether the planner's loads need an update for the measurement alone, because the planner itself doesn't request one. */
  needsLoads(planner: MeasuredPlanner, now: MonotonicMillis): boolean {
    return !Number.isFinite(planner.nextDeadline()) && now - this.#imbalance.lookedAt >= BALANCE_MILLIS;
  }

  /** Updates the imbalance after the planner received the current loads. */
  updateImbalance(planner: MeasuredPlanner, now: MonotonicMillis): void {
    const isWatched = this.#service.definition.placement.imbalance > 0;
    this.#imbalance.look(planner.spread(), isWatched, now);
  }

  measures(now: MonotonicMillis): ServiceMeasures {
    const { name, keyspaces } = this.#service.definition;
    const unownedShards = this.#registry().unownedShards(name).size;
    const shards = keyspaces.reduce((sum, keyspace) => sum + keyspace.shards, 0);
    const counts = this.#ownership.counts(now);
    const imbalance = this.#imbalance.measure(now);
    return { service: name, ownedShards: shards - unownedShards, unownedShards, ...counts, ...imbalance };
  }

  #isCurrent(shard: ShardId): boolean {
    return parseShardId(shard)?.generation === this.#service.generation;
  }
}

/** Moves off an upstream that drains, or that may no longer hold the shard, count as drains. */
function reasonOf(reason: PlacementMove['reason']): MoveReason {
  return reason === 'balance' ? 'balance' : 'drain';
}
