/**
 * The leader's coordination of shard ownership, divided by service. Its state derives from the registry, from the answers of upstreams
 * during this leadership and from the loads that routers report; it processes what changed since the last run.
 */
import type { MonotonicMillis, ServiceName, UpstreamId, Zone } from '../model/identifiers.js';
import type { ReportedWork } from '../placement/index.js';
import type { RegistryChange, ServiceRecord } from '../registry/types.js';
import type { LoadReport } from './messages.js';
import { hasRanges } from './ranges/range-coordinator.js';
import { SHARDS_PER_RUN } from './registry-scan.js';
import { type CoordinatorParts, ServiceCoordinator } from './service-coordinator.js';
import type { ServiceMeasures } from './service-measures.js';

export class ShardCoordinator {
  readonly #parts: CoordinatorParts;
  readonly #services = new Map<ServiceName, ServiceCoordinator>();
  readonly #serviceByUpstream = new Map<UpstreamId, ServiceName>();
  /** Changes that aren't applied yet; a run applies a bounded number. */
  readonly #changes: RegistryChange[] = [];
  readonly #changedSessions = new Set<UpstreamId>();

  constructor(parts: CoordinatorParts) {
    this.#parts = parts;
  }

  /** Starts from the current registry; every later change is to be passed to `registryChanged`. */
  begin(now: MonotonicMillis): void {
    const registry = this.#parts.registry();
    for (const service of registry.services().values()) {
      this.#serviceChanged(service.definition.name, service, now);
    }
    for (const { definition } of registry.upstreams().values()) {
      this.#serviceByUpstream.set(definition.id, definition.service);
    }
  }

  registryChanged(changes: readonly RegistryChange[]): void {
    for (const change of changes) {
      this.#changes.push(change);
    }
  }

  /** Called after an answer of an upstream or its failure to answer. */
  sessionChanged(upstream: UpstreamId): void {
    this.#changedSessions.add(upstream);
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

  /** Updates sessions according to the registry and proposes the next changes. */
  run(now: MonotonicMillis): void {
    for (const change of this.#changes.splice(0, SHARDS_PER_RUN)) {
      this.#apply(change, now);
    }
    for (const upstream of this.#changedSessions) {
      this.#findService(this.#serviceByUpstream.get(upstream))?.sessionChanged(upstream, now);
    }
    this.#changedSessions.clear();
    for (const service of this.#services.values()) {
      service.run(now);
    }
  }

  /** Returns the measurements of each keyed service. */
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

  #apply(change: RegistryChange, now: MonotonicMillis): void {
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
        this.#services.get(serviceOfShard(change.shard))?.applyRecord(change.shard, change.record, now);
        break;
    }
  }

  #serviceChanged(name: ServiceName, record: ServiceRecord | null, now: MonotonicMillis): void {
    const existing = this.#services.get(name);
    if (record === null || !record.definition.keyed || hasRanges(record)) {
      existing?.end();
      this.#services.delete(name);
    } else if (existing === undefined) {
      this.#services.set(name, new ServiceCoordinator(this.#parts, record, now));
    } else {
      existing.serviceChanged(record, now);
    }
  }

  /** Updates the upstreams of a zone that was evacuated or brought back into use. */
  #zoneChanged(zone: Zone, now: MonotonicMillis): void {
    for (const { definition } of this.#parts.registry().upstreams().values()) {
      if (definition.zone === zone) {
        this.#upstreamChanged(definition.id, definition.service, now);
      }
    }
  }

  #upstreamChanged(upstream: UpstreamId, declared: ServiceName | undefined, now: MonotonicMillis): void {
    const service = declared ?? this.#serviceByUpstream.get(upstream);
    if (declared === undefined) {
      this.#serviceByUpstream.delete(upstream);
    } else {
      this.#serviceByUpstream.set(upstream, declared);
    }
    this.#findService(service)?.upstreamChanged(upstream, now);
  }

  #findService(name: ServiceName | undefined): ServiceCoordinator | undefined {
    return name === undefined ? undefined : this.#services.get(name);
  }
}

function serviceOfShard(shard: string): ServiceName {
  return shard.slice(0, shard.indexOf('/'));
}
