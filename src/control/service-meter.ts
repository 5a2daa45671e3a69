/** Measures one keyed service on the leader, from what its coordinator sees. */
import { type Epoch, type MonotonicMillis, parseShardId, type ShardId } from '../model/identifiers.js';
import { BALANCE_MILLIS, type MeasuredPlanner, type PlacementMove } from '../placement/index.js';
import type { Registry, ServiceRecord, ShardRecord } from '../registry/types.js';
import { ImbalanceWatch } from './imbalance-watch.js';
import { type MoveReason, OwnershipMeasures } from './ownership-measures.js';
import type { ServiceMeasures } from './service-measures.js';

/** A shard without a record was never granted. */
export function neverGranted(shard: ShardId): ShardRecord {
  return { shard, owner: null, incarnation: null, epoch: 0, movingTo: null, revision: 0 };
}

/** Shards of older key maps get no further grant, so nothing is measured of them. */
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
    const isOtherKeyMap = this.#service.generation !== service.generation;
    this.#service = service;
    if (isOtherKeyMap) {
      this.#imbalance = new ImbalanceWatch();
      this.#ownership.begin(now);
    }
  }

  /** Takes over a shard from the registry. Nothing is placed before all are, so each is measured to its next grant. */
  takeOver(shard: ShardId): void {
    const record = this.#registry().shards().get(shard) ?? neverGranted(shard);
    if (record.owner === null && this.#isCurrent(shard)) {
      this.#ownership.takeVacant(record);
    }
  }

  /** Takes each change of a shard's record, in the order of the log. */
  recordChanged(shard: ShardId, record: ShardRecord | null, now: MonotonicMillis): void {
    if (this.#isCurrent(shard)) {
      this.#ownership.recordChanged(record ?? neverGranted(shard), now);
    }
  }

  /** The holder of a grant answered that it gave it up for good. */
  givenUp(shard: ShardId, epoch: Epoch, now: MonotonicMillis): void {
    if (this.#isCurrent(shard)) {
      this.#ownership.givenUp(shard, epoch, now);
    }
  }

  /** The registry has a move that the planner made. */
  moveStarted({ shard, to, reason }: PlacementMove): void {
    this.#ownership.moveStarted(shard, to, reasonOf(reason));
  }

  /** Whether the loads are to be taken for the measure alone, since the planner doesn't ask for them. */
  wantsLoads(planner: MeasuredPlanner, now: MonotonicMillis): boolean {
    return !Number.isFinite(planner.nextDeadline()) && now - this.#imbalance.lookedAt >= BALANCE_MILLIS;
  }

  /** The planner has the loads of now. */
  loadsTaken(planner: MeasuredPlanner, now: MonotonicMillis): void {
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

/** Moves off an upstream that leaves, or that may not hold the shard any more, are drains. */
function reasonOf(reason: PlacementMove['reason']): MoveReason {
  return reason === 'balance' ? 'balance' : 'drain';
}
