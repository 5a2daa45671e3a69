/**
 * The leader's work on ownership, divided by service. All of it follows from the registry, from what upstreams answer
 * in this leadership and from the loads that routers report; it works on what changed since the last run.
 */
import type { MonotonicMillis, ServiceName, UpstreamId, Zone } from '../model/identifiers.js';
import type { ReportedWork } from '../placement/index.js';
import type { RegistryChange, ServiceRecord } from '../registry/types.js';
import type { LoadReport } from './messages.js';
import { hasRanges } from './ranges/range-coordinator.js';
import { SHARDS_PER_RUN } from './registry-load.js';
import { type CoordinatorParts, ServiceCoordinator } from './service-coordinator.js';
import type { ServiceMeasures } from './service-measures.js';

export class ShardCoordinator {
  readonly #parts: CoordinatorParts;
  readonly #services = new Map<ServiceName, ServiceCoordinator>();
  readonly #serviceOf = new Map<UpstreamId, ServiceName>();
  /** Changes that weren't taken yet; a run takes a bounded number. */
  readonly #changes: RegistryChange[] = [];
  readonly #sessions = new Set<UpstreamId>();

  constructor(parts: CoordinatorParts) {
    this.#parts = parts;
  }

  /** Takes the registry as it is now; from here on it is told of each change. */
  begin(now: MonotonicMillis): void {
    const registry = this.#parts.registry();
    for (const service of registry.services().values()) {
      this.#serviceChanged(service.definition.name, service, now);
    }
    for (const { definition } of registry.upstreams().values()) {
      this.#serviceOf.set(definition.id, definition.service);
    }
  }

  registryChanged(changes: readonly RegistryChange[]): void {
    for (const change of changes) {
      this.#changes.push(change);
    }
  }

  /** An upstream answered or failed to. */
  sessionChanged(upstream: UpstreamId): void {
    this.#sessions.add(upstream);
  }

  loadReported({ shards }: LoadReport, now: MonotonicMillis): void {
    const byService = new Map<ServiceName, ReportedWork[]>();
    for (const work of shards) {
      const service = serviceOfShard(work.shard);
      const works = byService.get(service) ?? [];
      works.push(work);
      byService.set(service, works);
    }
    for (const [service, works] of byService) {
      this.#services.get(service)?.loadReported(works, now);
    }
  }

  /** Brings sessions into line with the registry and proposes what is to change next. */
  run(now: MonotonicMillis): void {
    for (const change of this.#changes.splice(0, SHARDS_PER_RUN)) {
      this.#take(change, now);
    }
    for (const upstream of this.#sessions) {
      this.#serviceNamed(this.#serviceOf.get(upstream))?.sessionChanged(upstream, now);
    }
    this.#sessions.clear();
    for (const service of this.#services.values()) {
      service.run(now);
    }
  }

  /** What is measured of each keyed service. */
  measures(now: MonotonicMillis): ServiceMeasures[] {
    return [...this.#services.values()].map((service) => service.measures(now));
  }

  nextDeadline(now: MonotonicMillis): MonotonicMillis {
    if (this.#changes.length > 0) {
      return now;
    }
    let deadline = Number.POSITIVE_INFINITY;
    for (const service of this.#services.values()) {
      deadline = Math.min(deadline, service.nextDeadline(now));
    }
    return deadline;
  }

  #take(change: RegistryChange, now: MonotonicMillis): void {
    switch (change.type) {
      case 'service':
        this.#serviceChanged(change.name, change.record, now);
        break;
      case 'evacuation':
        this.#zoneChanged(change.zone, now);
        break;
      case 'upstream':
        this.#upstreamChanged(change.id, change.record?.definition.service, now);
        break;
      case 'shard':
        this.#services.get(serviceOfShard(change.shard))?.recordChanged(change.shard, change.record, now);
        break;
    }
  }

  #serviceChanged(name: ServiceName, record: ServiceRecord | null, now: MonotonicMillis): void {
    const known = this.#services.get(name);
    if (record === null || !record.definition.keyed || hasRanges(record)) {
      known?.end();
      this.#services.delete(name);
    } else if (known === undefined) {
      this.#services.set(name, new ServiceCoordinator(this.#parts, record, now));
    } else {
      known.serviceChanged(record, now);
    }
  }

  /** Its upstreams are to get nothing new, or may again. */
  #zoneChanged(zone: Zone, now: MonotonicMillis): void {
    for (const { definition } of this.#parts.registry().upstreams().values()) {
      if (definition.zone === zone) {
        this.#upstreamChanged(definition.id, definition.service, now);
      }
    }
  }

  #upstreamChanged(upstream: UpstreamId, declared: ServiceName | undefined, now: MonotonicMillis): void {
    const service = declared ?? this.#serviceOf.get(upstream);
    if (declared === undefined) {
      this.#serviceOf.delete(upstream);
    } else {
      this.#serviceOf.set(upstream, declared);
    }
    this.#serviceNamed(service)?.upstreamChanged(upstream, now);
  }

  #serviceNamed(name: ServiceName | undefined): ServiceCoordinator | undefined {
    return name === undefined ? undefined : this.#services.get(name);
  }
}

function serviceOfShard(shard: string): ServiceName {
  return shard.slice(0, shard.indexOf('/'));
}
