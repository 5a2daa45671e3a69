/**
 * Speeds of upstreams without keys, and demand and capacity of each zone, which the control leader derives from the reports of all routers.
 * None of it is in the Raft log: a new leader starts empty, and routers expire values that aren't renewed.
 */
import type { FleetReport, FleetViewVersion, UpstreamSpeed, ZoneCapacity } from '../../model/fleet-view.js';
import type { MonotonicMillis, ServiceName, UpstreamId, Zone } from '../../model/identifiers.js';
import { OwnerSpeeds } from '../../placement/ranges/owner-speeds.js';
import type { FleetUpdate, LoadReport } from '../messages.js';
import type { ConnectionId } from '../types.js';
import { KindDurations } from './kind-durations.js';
import { type DatedValue, PublishedValues, type Version } from './published-values.js';
import { planSpill, type ZoneBalance } from './spill-plan.js';
import { ZoneDemand } from './zone-demand.js';

/** How often speeds and capacity are recomputed. */
const RECOMPUTE_MILLIS = 1000;
/** A server that is slow for only a second or two must not count as slow. */
const SPEED_HALF_LIFE_MILLIS = 15_000;
/** A speed is published once it differs from the published one by this factor. */
const SPEED_STEP = 1.1;
/** The first speed of an upstream is published if it differs from the mean by this factor; smaller differences are noise. */
const FIRST_SPEED_STEP = 1.2;
const MEAN_STEP = 1.1;
/** Smallest changes of a zone's utilization and of its spill shares that are published. */
const USE_STEP = 0.1;
const SHARE_STEP = 0.02;
/** An upstream reported out of order by routers of its zone has no capacity for this long, unless it answers requests again. */
const OUT_OF_ORDER_MILLIS = 3000;

/** An upstream of a service without keys. */
export interface KeylessUpstream {
  readonly id: UpstreamId;
  readonly service: ServiceName;
  readonly zone: Zone;
  readonly slots: number;
  /** Whether it may receive new requests. */
  readonly isUsable: boolean;
}

export interface FleetCapacityParts {
  readonly term: number;
  readonly upstreams: () => readonly KeylessUpstream[];
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
}

/** The published values, each with its age. */
export interface FleetStatus {
  readonly speeds: readonly (UpstreamSpeed & { readonly sinceMillis: number })[];
  readonly zones: readonly (ZoneCapacity & { readonly sinceMillis: number })[];
}

export class FleetCapacity {
  readonly #parts: FleetCapacityParts;
  readonly #speeds = new Map<ServiceName, OwnerSpeeds>();
  readonly #kindDurations = new KindDurations();
  readonly #demand = new ZoneDemand();
  readonly #outOfOrderAt = new Map<UpstreamId, MonotonicMillis>();
  readonly #publishedSpeeds = new PublishedValues<UpstreamSpeed>((one, other) =>
    isWithin(one.speed, other.speed, SPEED_STEP),
  );
  readonly #publishedZones = new PublishedValues<ZoneCapacity>(isSameCapacity);
  #number = 0;
  #recomputedAt: MonotonicMillis;
  #upstreams: ReadonlyMap<UpstreamId, KeylessUpstream> = new Map();

  constructor(parts: FleetCapacityParts, now: MonotonicMillis) {
    this.#parts = parts;
    this.#recomputedAt = now;
    this.#readUpstreams();
  }

  /** Records a router's report; returns the update for the router, or `null` if its report has no fleet part. */
  recordReport(report: LoadReport, from: ConnectionId, now: MonotonicMillis): FleetUpdate | null {
    const { fleet, intervalMillis } = report;
    if (fleet === undefined) {
      return null;
    }
    if (this.#demand.isNewer(from, fleet.number)) {
      this.#recordSamples(fleet, now);
      this.#recordDemand(fleet, from, Math.max(1, intervalMillis), now);
    }
    if (now - this.#recomputedAt >= RECOMPUTE_MILLIS) {
      this.#recomputedAt = now;
      this.#recompute(now);
    }
    return this.#updateSince(fleet.have);
  }

  onRouterDisconnected(from: ConnectionId): void {
    this.#demand.onRouterDisconnected(from);
  }

  status(now: MonotonicMillis): FleetStatus {
    const aged = <Value extends object>({
      value,
      at,
    }: DatedValue<Value>): Value & { sinceMillis: number } => ({
      ...value,
      sinceMillis: Math.round(now - at),
    });
    return {
      speeds: this.#publishedSpeeds.withTimes().map(aged),
      zones: this.#publishedZones.withTimes().map(aged),
    };
  }

  #updateSince(have: FleetViewVersion): FleetUpdate {
    const { term } = this.#parts;
    const isWhole = have.term !== term || have.number > this.#number;
    const since = isWhole ? Number.NEGATIVE_INFINITY : have.number;
    return {
      type: 'fleet-news',
      version: { term, number: this.#number },
      isWhole,
      speeds: this.#publishedSpeeds.since(since),
      zones: this.#publishedZones.since(since),
    };
  }

  #recordSamples({ zone, upstreams }: FleetReport, now: MonotonicMillis): void {
    for (const { upstream, kind, requests, workMillis, isOut } of upstreams) {
      const known = this.#upstreams.get(upstream);
      if (known === undefined) {
        continue;
      }
      if (requests > 0) {
        const speed = this.#publishedSpeeds.get(upstream)?.speed ?? 1;
        this.#kindDurations.add(kind, requests, workMillis, speed);
        const usualMillis = this.#kindDurations.meanMillisOf(kind) ?? workMillis / requests;
        this.#speedsOf(known.service).add(upstream, requests, workMillis / usualMillis, now);
      }
      if (isOut && known.zone === zone) {
        this.#outOfOrderAt.set(upstream, now);
      } else if (requests > 0) {
        this.#outOfOrderAt.delete(upstream);
      }
    }
  }

  #recordDemand(
    { zone, number, demand }: FleetReport,
    from: ConnectionId,
    spanMillis: number,
    now: MonotonicMillis,
  ): void {
    const services = demand.map(({ service, kind, requests }) => ({
      service,
      requests,
      workMillis: requests * (this.#kindDurations.meanMillisOf(kind) ?? 0),
    }));
    this.#demand.add(from, { zone, number, demand: services }, spanMillis, now);
  }

  #readUpstreams(): void {
    this.#upstreams = new Map(this.#parts.upstreams().map((upstream) => [upstream.id, upstream]));
  }

  #recompute(now: MonotonicMillis): void {
    this.#readUpstreams();
    const version = { number: this.#number + 1, now };
    let hasUpdate = false;
    const byService = groupBy([...this.#upstreams.values()], ({ service }) => service);
    const demand = this.#demand.byZone(now);
    for (const [service, upstreams] of byService) {
      const speeds = this.#relativeSpeeds(service, upstreams);
      for (const upstream of upstreams) {
        hasUpdate = this.#publishSpeed(upstream, speeds.get(upstream.id) ?? 1, version) || hasUpdate;
      }
      const zones = this.#zonesOf(service, upstreams, speeds, demand.get(service) ?? new Map(), now);
      hasUpdate = this.#publishZones(zones, version) || hasUpdate;
    }
    this.#removeStale(new Set(byService.keys()));
    this.#number = hasUpdate ? version.number : this.#number;
  }

  /** Speeds scaled to a slot-weighted mean of 1, regardless of how the requests are distributed. */
  #relativeSpeeds(service: ServiceName, upstreams: readonly KeylessUpstream[]): Map<UpstreamId, number> {
    const speeds = this.#speedsOf(service);
    const slots = sum(upstreams.map((upstream) => upstream.slots));
    const mean =
      sum(upstreams.map((upstream) => upstream.slots * speeds.speedOf(upstream.id))) / Math.max(1, slots);
    return new Map(upstreams.map(({ id }) => [id, speeds.speedOf(id) / mean]));
  }

  #publishSpeed({ id, service, zone }: KeylessUpstream, measured: number, version: Version): boolean {
    const before = this.#publishedSpeeds.get(id)?.speed ?? null;
    if (before === null && isWithin(measured, 1, FIRST_SPEED_STEP)) {
      return false;
    }
    const speed = rounded(measured);
    if (!this.#publishedSpeeds.publish(id, { upstream: id, speed }, version)) {
      return false;
    }
    this.#parts.log('upstream-speed-changed', { service, upstream: id, zone, speed, before: before ?? 1 });
    return true;
  }

  #publishZones(capacities: readonly ZoneCapacity[], version: Version): boolean {
    let hasUpdate = false;
    for (const capacity of capacities) {
      const before = this.#publishedZones.get(`${capacity.service} ${capacity.zone}`);
      if (this.#publishedZones.publish(`${capacity.service} ${capacity.zone}`, capacity, version)) {
        hasUpdate = true;
        this.#logSpillChange(capacity, before);
      }
    }
    return hasUpdate;
  }

  #zonesOf(
    service: ServiceName,
    upstreams: readonly KeylessUpstream[],
    speeds: ReadonlyMap<UpstreamId, number>,
    demand: ReadonlyMap<Zone, number>,
    now: MonotonicMillis,
  ): ZoneCapacity[] {
    const meanMillis = this.#demand.meanMillis(service);
    if (meanMillis === null) {
      return [];
    }
    const isUneven = upstreams.some(
      ({ id }) => !isWithin(this.#publishedSpeeds.get(id)?.speed ?? 1, 1, FIRST_SPEED_STEP),
    );
    const zones = new Set([...upstreams.map(({ zone }) => zone), ...demand.keys()]);
    const balances = [...zones].sort().map((zone): ZoneBalance => {
      const working = upstreams.filter(
        (upstream) => upstream.zone === zone && this.#isWorking(upstream, now),
      );
      const capacity = sum(working.map(({ id, slots }) => slots * (speeds.get(id) ?? 1)));
      return { zone, demand: demand.get(zone) ?? 0, capacity };
    });
    return planSpill(balances).map(({ zone, use, spill }) => ({
      service,
      zone,
      meanMillis: rounded(meanMillis),
      isUneven,
      use: rounded(use),
      spill: spill.map(roundedPart),
    }));
  }

  /** Logs only changes that involve spilled requests. */
  #logSpillChange({ service, zone, use, spill }: ZoneCapacity, before: ZoneCapacity | undefined): void {
    if (spill.length > 0 || (before?.spill.length ?? 0) > 0) {
      this.#parts.log('zone-spill-changed', { service, zone, use, spill, before: before?.spill ?? [] });
    }
  }

  #isWorking({ id, isUsable }: KeylessUpstream, now: MonotonicMillis): boolean {
    return isUsable && now - (this.#outOfOrderAt.get(id) ?? Number.NEGATIVE_INFINITY) > OUT_OF_ORDER_MILLIS;
  }

  #removeStale(services: ReadonlySet<ServiceName>): void {
    const ids = new Set(this.#upstreams.keys());
    this.#publishedSpeeds.retainOnly(ids);
    for (const [service, speeds] of this.#speeds) {
      if (services.has(service)) {
        speeds.keepOnly(ids);
      } else {
        this.#speeds.delete(service);
      }
    }
    for (const id of this.#outOfOrderAt.keys()) {
      if (!ids.has(id)) {
        this.#outOfOrderAt.delete(id);
      }
    }
  }

  #speedsOf(service: ServiceName): OwnerSpeeds {
    const speeds = this.#speeds.get(service) ?? new OwnerSpeeds(SPEED_HALF_LIFE_MILLIS);
    this.#speeds.set(service, speeds);
    return speeds;
  }
}

function isSameCapacity(one: ZoneCapacity, other: ZoneCapacity): boolean {
  const isShareSame = (zone: Zone): boolean =>
    Math.abs(shareTo(one, zone) - shareTo(other, zone)) < SHARE_STEP &&
    (shareTo(one, zone) === 0) === (shareTo(other, zone) === 0);
  return (
    one.isUneven === other.isUneven &&
    Math.abs(one.use - other.use) < USE_STEP &&
    isWithin(one.meanMillis, other.meanMillis, MEAN_STEP) &&
    [...one.spill, ...other.spill].every(({ zone }) => isShareSame(zone))
  );
}

function shareTo({ spill }: ZoneCapacity, zone: Zone): number {
  return spill.find((part) => part.zone === zone)?.share ?? 0;
}

function isWithin(one: number, other: number, factor: number): boolean {
  return one < other * factor && other < one * factor;
}

function rounded(value: number): number {
  return Math.round(value * 100) / 100;
}

function roundedPart({ zone, share }: ZoneCapacity['spill'][number]): ZoneCapacity['spill'][number] {
  return { zone, share: Math.round(share * 1000) / 1000 };
}

function groupBy<Item>(items: readonly Item[], nameOf: (item: Item) => string): Map<string, Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const group = groups.get(nameOf(item)) ?? [];
    group.push(item);
    groups.set(nameOf(item), group);
  }
  return groups;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
