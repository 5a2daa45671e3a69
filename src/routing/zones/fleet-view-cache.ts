/**
 * The latest update from control about the speeds of upstreams and the capacity of zones. It expires: without updates the router decides by its
 * own measurements alone.
 */
import type { FleetUpdate } from '../../control/messages.js';
import { type FleetViewVersion, INITIAL_FLEET_VERSION, type ZoneCapacity } from '../../model/fleet-view.js';
import type { MonotonicMillis, ServiceName, UpstreamId, Zone } from '../../model/identifiers.js';
import type { FleetView } from '../upstream/fleet-view.js';

/** Updates come about once per second; a lost message or a new leader may delay them by a few seconds. */
const EXPIRY_MILLIS = 5000;
/** Smoothing time of the usual relative load of a zone. */
const USUAL_LOAD_SMOOTHING_MILLIS = 5000;

interface UsualLoad {
  relativeLoad: number;
  at: MonotonicMillis;
}

export class FleetViewCache implements FleetView {
  #version: FleetViewVersion = INITIAL_FLEET_VERSION;
  #receivedAt: MonotonicMillis = Number.NEGATIVE_INFINITY;
  readonly #speeds = new Map<UpstreamId, number>();
  readonly #usualLoads = new Map<string, UsualLoad>();
  readonly #capacities = new Map<ServiceName, Map<Zone, ZoneCapacity>>();

  /** Version that the router has, so that control can send the changes since then. */
  get version(): FleetViewVersion {
    return this.#version;
  }

  update({ version, isWhole, speeds, zones }: FleetUpdate, now: MonotonicMillis): void {
    if (!isWhole && (version.term !== this.#version.term || version.number < this.#version.number)) {
      return;
    }
    if (isWhole) {
      this.#speeds.clear();
      this.#capacities.clear();
    }
    for (const { upstream, speed } of speeds) {
      this.#speeds.set(upstream, speed);
    }
    for (const capacity of zones) {
      const byZone = this.#capacities.get(capacity.service) ?? new Map<Zone, ZoneCapacity>();
      this.#capacities.set(capacity.service, byZone.set(capacity.zone, capacity));
    }
    this.#version = version;
    this.#receivedAt = now;
  }

  /** Removes an upstream: another run under its id may have another speed. */
  removeUpstream(upstream: UpstreamId): void {
    this.#speeds.delete(upstream);
  }

  speedOf(upstream: UpstreamId, now: MonotonicMillis): number | null {
    return this.#isFresh(now) ? (this.#speeds.get(upstream) ?? null) : null;
  }

  /** Demand and capacity of a zone; `null` if they are unknown or expired. */
  capacityOf(service: ServiceName, zone: Zone, now: MonotonicMillis): ZoneCapacity | null {
    return this.#isFresh(now) ? (this.#capacities.get(service)?.get(zone) ?? null) : null;
  }

  meanMillisIfUneven(service: ServiceName, zone: Zone, now: MonotonicMillis): number | null {
    const capacity = this.capacityOf(service, zone, now);
    return capacity?.isUneven === true ? capacity.meanMillis : null;
  }

  recordRelativeLoad(service: ServiceName, zone: Zone, relativeLoad: number, now: MonotonicMillis): void {
    const name = `${service} ${zone}`;
    const usual = this.#usualLoads.get(name);
    if (usual === undefined) {
      this.#usualLoads.set(name, { relativeLoad, at: now });
      return;
    }
    usual.relativeLoad +=
      (1 - Math.exp((usual.at - now) / USUAL_LOAD_SMOOTHING_MILLIS)) * (relativeLoad - usual.relativeLoad);
    usual.at = now;
  }

  usualRelativeLoad(service: ServiceName, zone: Zone): number | null {
    return this.#usualLoads.get(`${service} ${zone}`)?.relativeLoad ?? null;
  }

  #isFresh(now: MonotonicMillis): boolean {
    return now - this.#receivedAt < EXPIRY_MILLIS;
  }
}
