/**
 * The leader's coordination of the shards of one keyed service: grants unowned shards, moves shards off draining or overloaded
 * upstreams, and orders each upstream which shards to hold, warm and release. It processes what changed since the last run.
 */
import type { LeaseGranter } from '../lease/lease-granter.js';
import { type MonotonicMillis, parseShardId, type ShardId, type UpstreamId } from '../model/identifiers.js';
import { createPlanner, LoadTracker, type MeasuredPlanner, type ReportedWork } from '../placement/index.js';
import type { Registry, ServiceRecord, ShardRecord, UpstreamRecord } from '../registry/types.js';
import { FirstGrants } from './first-grants.js';
import type { LeaderProposals } from './leader-proposals.js';
import { PlacementProposals } from './placement-proposals.js';
import { RegistryScan, SHARDS_PER_RUN } from './registry-scan.js';
import type { ServiceMeasures } from './service-measures.js';
import { neverGrantedRecord, ServiceMeter } from './service-meter.js';
import { ShardHandovers } from './shard-handovers.js';
import { UpstreamRoster } from './upstream-roster.js';

/** How long a new leader collects load reports before it balances by them. */
const BALANCE_DELAY_MILLIS = 10_000;
/** Load below which shards count as idle, in milliseconds of work per second. */
const MIN_SHARD_LOAD = 1;

export interface CoordinatorParts {
  readonly granter: LeaseGranter;
  readonly proposals: LeaderProposals;
  readonly registry: () => Registry;
  /** Maximum wait of a move for its target to warm; the default if omitted. */
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
  /** Placement waits until the scan of the registry is complete. */
  #scan: RegistryScan;
  #isPlanDue = true;

  constructor(parts: CoordinatorParts, service: ServiceRecord, now: MonotonicMillis) {
    this.#parts = parts;
    this.#service = service;
    this.#meter = new ServiceMeter(parts.registry, service, now);
    this.#planner = createPlanner(settingsOf(service), now + BALANCE_DELAY_MILLIS);
    this.#roster = new UpstreamRoster({ ...parts, planner: this.#planner }, service);
    this.#handovers = new ShardHandovers(
      { ...parts, onReleased: (shard, epoch, at) => this.#meter.recordRelease(shard, epoch, at) },
      service,
    );
    this.#proposals = new PlacementProposals({
      ...parts,
      incarnationOf: (upstream) => this.#roster.incarnationOf(upstream),
      isReady: (upstream) => this.#roster.isReady(upstream),
      onMoveStarted: (move) => this.#meter.recordMoveStart(move),
    });
    const upstreams = [...parts.registry().upstreams().values()]
      .filter(({ definition }) => definition.service === service.definition.name)
      .map(({ definition }) => definition.id);
    this.#scan = new RegistryScan(upstreams, this.#shardsToScan());
  }

  /** Called when the service is removed or no longer keyed. */
  end(): void {
    this.#roster.removeAll();
  }

  serviceChanged(service: ServiceRecord, now: MonotonicMillis): void {
    const hasNewKeyMap = this.#service.generation !== service.generation;
    this.#service = service;
    this.#planner.configure(settingsOf(service));
    this.#roster.setService(service, now);
    this.#handovers.setService(service);
    this.#meter.setService(service, now);
    if (hasNewKeyMap) {
      this.#changeKeyMap(now);
    }
    this.#isPlanDue = true;
  }

  upstreamChanged(upstream: UpstreamId, now: MonotonicMillis): void {
    const record = this.#parts.registry().upstreams().get(upstream);
    if (record === undefined) {
      this.#roster.remove(upstream);
    } else {
      this.#setUpstream(record, now);
    }
    this.#isPlanDue = true;
  }

  /** Called after a change of a shard's record, or to check the shard again. */
  shardChanged(shard: ShardId, now: MonotonicMillis): void {
    const record = this.#parts.registry().shards().get(shard);
    const parts = parseShardId(shard);
    if (parts?.generation === this.#service.generation) {
      this.#setShard(record ?? neverGrantedRecord(shard), parts.keyspace, now);
    } else {
      this.#retireShard(shard, record, now);
    }
    this.#isPlanDue = true;
  }

  /** Applies a change of a shard's record. To be called for every change, in the order of the log. */
  applyRecord(shard: ShardId, record: ShardRecord | null, now: MonotonicMillis): void {
    this.#meter.applyRecord(shard, record, now);
    this.shardChanged(shard, now);
  }

  measures(now: MonotonicMillis): ServiceMeasures {
    return this.#meter.measures(now);
  }

  /** Called after an answer of an upstream or its failure to answer. */
  sessionChanged(upstream: UpstreamId, now: MonotonicMillis): void {
    if (!this.#roster.has(upstream)) {
      return;
    }
    this.#isPlanDue = this.#roster.sessionChanged(upstream) || this.#isPlanDue;
    this.#handovers.sessionChanged(upstream, now);
  }

  loadReported(works: readonly ReportedWork[], now: MonotonicMillis): void {
    this.#loads.report(works, now);
    if (this.#meter.needsLoads(this.#planner, now)) {
      this.#updateLoads(now);
    }
  }

  /** Processes due work and proposes the next changes. */
  run(now: MonotonicMillis): void {
    this.#scanRegistry(now);
    this.#handovers.run(now);
    for (const shard of this.#proposals.takeDueRechecks(now)) {
      this.shardChanged(shard, now);
    }
    this.#roster.run(now);
    this.#proposals.release(this.#handovers.releases(), now);
    if (this.#mayPlace()) {
      this.#place(now);
    }
  }

  nextDeadline(now: MonotonicMillis): MonotonicMillis {
    if (!this.#scan.isDone) {
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

  /** Under a new key map nothing is granted until every shard of the old one is released. */
  #mayPlace(): boolean {
    return (
      this.#scan.isDone && this.#parts.registry().retiredOwnedShards(this.#service.definition.name).size === 0
    );
  }

  #place(now: MonotonicMillis): void {
    if (this.#firstGrants.size > 0) {
      const readiness = this.#roster.readiness();
      for (const shard of this.#firstGrants.takeDue(readiness, SHARDS_PER_RUN, now)) {
        this.shardChanged(shard, now);
      }
    }
    if (now >= this.#planner.nextDeadline()) {
      this.#updateLoads(now);
    } else if (!this.#isPlanDue) {
      return;
    }
    this.#isPlanDue = false;
    this.#proposals.propose(this.#planner.plan(now), now);
  }

  #updateLoads(now: MonotonicMillis): void {
    this.#planner.setMinShardLoad(this.#loads.weightForLoad(MIN_SHARD_LOAD, now));
    for (const { shard, load } of this.#loads.takeChanged()) {
      this.#planner.setLoad(shard, load);
    }
    this.#meter.updateImbalance(this.#planner, now);
  }

  /** Shards that the scan doesn't find through their upstreams: unowned ones, and those of older key maps, which are to be revoked. */
  #shardsToScan(): ShardId[] {
    const registry = this.#parts.registry();
    const { name } = this.#service.definition;
    return [...registry.retiredOwnedShards(name), ...registry.unownedShards(name)];
  }

  #changeKeyMap(now: MonotonicMillis): void {
    this.#planner = createPlanner(settingsOf(this.#service), now + BALANCE_DELAY_MILLIS);
    this.#roster.setPlanner(this.#planner);
    this.#loads = new LoadTracker();
    this.#firstGrants.reset();
    this.#scan = new RegistryScan(this.#scan.remainingUpstreams(), this.#shardsToScan());
  }

  #scanRegistry(now: MonotonicMillis): void {
    for (let count = 0; count < SHARDS_PER_RUN && !this.#scan.isDone; count += 1) {
      const item = this.#scan.next();
      if (item?.type === 'shard') {
        this.#meter.addScanned(item.shard);
        this.shardChanged(item.shard, now);
      } else if (item !== undefined && !this.#roster.has(item.upstream)) {
        const record = this.#parts.registry().upstreams().get(item.upstream);
        count += record === undefined ? 0 : this.#setUpstream(record, now);
      }
    }
  }

  /**
   * Adds or updates an upstream. A new one's session is opened together with all of its orders, since the first orders sent to it are a
   * complete list. Returns the number of shards processed.
   */
  #setUpstream(record: UpstreamRecord, now: MonotonicMillis): number {
    const { id } = record.definition;
    const isNew = !this.#roster.has(id);
    this.#roster.set(record, now);
    if (!isNew) {
      return 0;
    }
    if (this.#scan.isDone) {
      this.#firstGrants.onUpstreamAdded(now);
    }
    const registry = this.#parts.registry();
    const shards = [...registry.shardsOwnedBy(id), ...registry.shardsMovingTo(id)];
    for (const shard of shards) {
      this.shardChanged(shard, now);
    }
    return shards.length;
  }

  #setShard(record: ShardRecord, keyspace: string, now: MonotonicMillis): void {
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
