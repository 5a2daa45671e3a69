/**
 * The leader's work on the shards of one keyed service: grants those without owner, moves them off leaving or crowded
 * upstreams, and orders each upstream what to hold, warm and give up. It works on what changed since the last run.
 */
import type { LeaseGranter } from '../lease/lease-granter.js';
import { type MonotonicMillis, parseShardId, type ShardId, type UpstreamId } from '../model/identifiers.js';
import { createPlanner, LoadTracker, type MeasuredPlanner, type ReportedWork } from '../placement/index.js';
import type { Registry, ServiceRecord, ShardRecord, UpstreamRecord } from '../registry/types.js';
import { FirstGrants } from './first-grants.js';
import type { LeaderProposals } from './leader-proposals.js';
import { PlacementProposals } from './placement-proposals.js';
import { RegistryLoad, SHARDS_PER_RUN } from './registry-load.js';
import type { ServiceMeasures } from './service-measures.js';
import { neverGranted, ServiceMeter } from './service-meter.js';
import { ShardHandovers } from './shard-handovers.js';
import { UpstreamRoster } from './upstream-roster.js';

/** A new leader hears of loads for this long before it balances by them. */
const LISTEN_MILLIS = 10_000;
/** Load below which shards count as idle, in milliseconds of work a second. */
const LEAST_LOAD = 1;

export interface CoordinatorParts {
  readonly granter: LeaseGranter;
  readonly proposals: LeaderProposals;
  readonly registry: () => Registry;
  /** Longest wait of a move for its target to warm; the default if left out. */
  readonly warmTimeoutMillis?: number | undefined;
}

export class ServiceCoordinator {
  readonly #parts: CoordinatorParts;
  #planner: MeasuredPlanner;
  readonly #roster: UpstreamRoster;
  readonly #handovers: ShardHandovers;
  readonly #proposals: PlacementProposals;
  #loads = new LoadTracker();
  readonly #firstGrants = new FirstGrants();
  readonly #meter: ServiceMeter;
  #service: ServiceRecord;
  /** Placement waits until all of it is taken over. */
  #load: RegistryLoad;
  #isPlanDue = true;

  constructor(parts: CoordinatorParts, service: ServiceRecord, now: MonotonicMillis) {
    this.#parts = parts;
    this.#service = service;
    this.#meter = new ServiceMeter(parts.registry, service, now);
    this.#planner = createPlanner(settingsOf(service), now + LISTEN_MILLIS);
    this.#roster = new UpstreamRoster({ ...parts, planner: this.#planner }, service);
    this.#handovers = new ShardHandovers(
      { ...parts, givenUp: (shard, epoch, at) => this.#meter.givenUp(shard, epoch, at) },
      service,
    );
    this.#proposals = new PlacementProposals({
      ...parts,
      incarnationOf: (upstream) => this.#roster.incarnationOf(upstream),
      isReady: (upstream) => this.#roster.isReady(upstream),
      moveStarted: (move) => this.#meter.moveStarted(move),
    });
    const upstreams = [...parts.registry().upstreams().values()]
      .filter(({ definition }) => definition.service === service.definition.name)
      .map(({ definition }) => definition.id);
    this.#load = new RegistryLoad(upstreams, this.#shardsToTake());
  }

  /** The service is gone, or not keyed any more. */
  end(): void {
    this.#roster.removeAll();
  }

  serviceChanged(service: ServiceRecord, now: MonotonicMillis): void {
    const isOtherKeyMap = this.#service.generation !== service.generation;
    this.#service = service;
    this.#planner.configure(settingsOf(service));
    this.#roster.setService(service, now);
    this.#handovers.setService(service);
    this.#meter.setService(service, now);
    if (isOtherKeyMap) {
      this.#changeKeyMap(now);
    }
    this.#isPlanDue = true;
  }

  upstreamChanged(upstream: UpstreamId, now: MonotonicMillis): void {
    const record = this.#parts.registry().upstreams().get(upstream);
    if (record === undefined) {
      this.#roster.remove(upstream);
    } else {
      this.#takeUpstream(record, now);
    }
    this.#isPlanDue = true;
  }

  /** A shard's record changed, or is to be looked at anew. */
  shardChanged(shard: ShardId, now: MonotonicMillis): void {
    const record = this.#parts.registry().shards().get(shard);
    const parts = parseShardId(shard);
    if (parts?.generation === this.#service.generation) {
      this.#takeShard(record ?? neverGranted(shard), parts.keyspace, now);
    } else {
      this.#retireShard(shard, record, now);
    }
    this.#isPlanDue = true;
  }

  /** A shard's record changed; told of every change, in the order of the log. */
  recordChanged(shard: ShardId, record: ShardRecord | null, now: MonotonicMillis): void {
    this.#meter.recordChanged(shard, record, now);
    this.shardChanged(shard, now);
  }

  measures(now: MonotonicMillis): ServiceMeasures {
    return this.#meter.measures(now);
  }

  /** An upstream answered or failed to. */
  sessionChanged(upstream: UpstreamId, now: MonotonicMillis): void {
    if (!this.#roster.has(upstream)) {
      return;
    }
    this.#isPlanDue = this.#roster.sessionChanged(upstream) || this.#isPlanDue;
    this.#handovers.sessionChanged(upstream, now);
  }

  loadReported(works: readonly ReportedWork[], now: MonotonicMillis): void {
    this.#loads.report(works, now);
    if (this.#meter.wantsLoads(this.#planner, now)) {
      this.#takeLoads(now);
    }
  }

  /** Proposes what is to change next. */
  run(now: MonotonicMillis): void {
    this.#takeOver(now);
    this.#handovers.run(now);
    for (const shard of this.#proposals.takeDue(now)) {
      this.shardChanged(shard, now);
    }
    this.#roster.run(now);
    this.#proposals.release(this.#handovers.releases(), now);
    if (this.#mayPlace()) {
      this.#place(now);
    }
  }

  nextDeadline(now: MonotonicMillis): MonotonicMillis {
    if (!this.#load.isDone) {
      return now;
    }
    return Math.min(
      this.#handovers.nextDeadline(),
      this.#proposals.nextDeadline(),
      this.#roster.nextDeadline(),
      this.#firstGrants.nextDeadline(now),
      this.#mayPlace() ? Math.max(this.#planner.nextDeadline(), now) : Number.POSITIVE_INFINITY,
    );
  }

  /** Under a new key map nothing is granted before every shard of the old one is given up. */
  #mayPlace(): boolean {
    return this.#load.isDone && this.#parts.registry().retiredOwned(this.#service.definition.name).size === 0;
  }

  #place(now: MonotonicMillis): void {
    if (this.#firstGrants.size > 0) {
      const readiness = this.#roster.readiness();
      for (const shard of this.#firstGrants.takeSettled(readiness, SHARDS_PER_RUN, now)) {
        this.shardChanged(shard, now);
      }
    }
    if (now >= this.#planner.nextDeadline()) {
      this.#takeLoads(now);
    } else if (!this.#isPlanDue) {
      return;
    }
    this.#isPlanDue = false;
    this.#proposals.propose(this.#planner.plan(now), now);
  }

  #takeLoads(now: MonotonicMillis): void {
    this.#planner.setLeastLoad(this.#loads.weightOf(LEAST_LOAD, now));
    for (const { shard, load } of this.#loads.takeChanged()) {
      this.#planner.setLoad(shard, load);
    }
    this.#meter.loadsTaken(this.#planner, now);
  }

  /** Shards that no upstream brings along: those without owner, and those of older key maps that are to be revoked. */
  #shardsToTake(): ShardId[] {
    const registry = this.#parts.registry();
    const { name } = this.#service.definition;
    return [...registry.retiredOwned(name), ...registry.unownedShards(name)];
  }

  #changeKeyMap(now: MonotonicMillis): void {
    this.#planner = createPlanner(settingsOf(this.#service), now + LISTEN_MILLIS);
    this.#roster.setPlanner(this.#planner);
    this.#loads = new LoadTracker();
    this.#firstGrants.startOver();
    this.#load = new RegistryLoad(this.#load.upstreamsLeft(), this.#shardsToTake());
  }

  #takeOver(now: MonotonicMillis): void {
    for (let taken = 0; taken < SHARDS_PER_RUN && !this.#load.isDone; taken += 1) {
      const item = this.#load.next();
      if (item?.type === 'shard') {
        this.#meter.takeOver(item.shard);
        this.shardChanged(item.shard, now);
      } else if (item !== undefined && !this.#roster.has(item.upstream)) {
        const record = this.#parts.registry().upstreams().get(item.upstream);
        taken += record === undefined ? 0 : this.#takeUpstream(record, now);
      }
    }
  }

  /**
   * Opens an upstream's session together with every order about it: the first orders it is sent are a complete list.
   * Returns the number of its shards.
   */
  #takeUpstream(record: UpstreamRecord, now: MonotonicMillis): number {
    const { id } = record.definition;
    const isNew = !this.#roster.has(id);
    this.#roster.set(record, now);
    if (!isNew) {
      return 0;
    }
    if (this.#load.isDone) {
      this.#firstGrants.upstreamAdded(now);
    }
    const registry = this.#parts.registry();
    const shards = [...registry.shardsOwnedBy(id), ...registry.shardsMovingTo(id)];
    for (const shard of shards) {
      this.shardChanged(shard, now);
    }
    return shards.length;
  }

  #takeShard(record: ShardRecord, keyspace: string, now: MonotonicMillis): void {
    const { shard, owner, movingTo } = record;
    this.#handovers.update(record, now);
    if (owner === null && record.epoch === 0 && this.#firstGrants.hold(shard)) {
      return;
    }
    this.#firstGrants.release(shard);
    const load = this.#loads.weight(shard);
    this.#planner.setShard({ shard, keyspace, load, owner, target: movingTo });
  }

  #retireShard(shard: ShardId, record: ShardRecord | undefined, now: MonotonicMillis): void {
    this.#planner.removeShard(shard);
    this.#firstGrants.release(shard);
    this.#handovers.retire(shard, record, now);
  }
}

function settingsOf({ definition }: ServiceRecord) {
  return { weights: definition.placement, movesPerMinute: definition.movesPerMinute };
}
