/** Demand of each zone, from the latest reports of its routers. */
import type { MonotonicMillis, ServiceName, Zone } from '../../model/identifiers.js';
import type { ConnectionId } from '../types.js';

/** A router's demand is smoothed over about this time; its own queue absorbs bursts of a second. */
const SMOOTHING_MILLIS = 2500;
/** A router without a report for this long has no demand. */
const REPORT_EXPIRY_MILLIS = 4000;
/** The mean duration of a request is smoothed over about this many requests. */
const MEAN_REQUESTS = 200;

/** Requests for a service and their total duration at an upstream of speed 1. */
export interface ServiceDemand {
  readonly service: ServiceName;
  readonly requests: number;
  readonly workMillis: number;
}

interface RouterDemand {
  readonly zone: Zone;
  at: MonotonicMillis;
  number: number;
  /** Demand by service, in slots of speed 1. */
  readonly slots: Map<ServiceName, number>;
}

export class ZoneDemand {
  readonly #routers = new Map<ConnectionId, RouterDemand>();
  readonly #meanMillis = new Map<ServiceName, number>();

  /** Whether a report is newer than the router's last one; `number` counts a router's reports. */
  isNewer(from: ConnectionId, number: number): boolean {
    return number > (this.#routers.get(from)?.number ?? Number.NEGATIVE_INFINITY);
  }

  add(
    from: ConnectionId,
    report: { readonly zone: Zone; readonly number: number; readonly demand: readonly ServiceDemand[] },
    spanMillis: number,
    now: MonotonicMillis,
  ): void {
    const known = this.#routers.get(from);
    const router = known ?? { zone: report.zone, at: now, number: 0, slots: new Map() };
    this.#routers.set(from, router);
    const weight = known === undefined ? 1 : 1 - Math.exp(-spanMillis / SMOOTHING_MILLIS);
    const latest = new Map<ServiceName, number>();
    for (const { service, workMillis } of report.demand) {
      latest.set(service, (latest.get(service) ?? 0) + workMillis / spanMillis);
    }
    for (const service of new Set([...router.slots.keys(), ...latest.keys()])) {
      const before = router.slots.get(service) ?? 0;
      router.slots.set(service, before + weight * ((latest.get(service) ?? 0) - before));
    }
    router.at = now;
    router.number = report.number;
    for (const { service, requests, workMillis } of report.demand) {
      this.#recordMean(service, requests, workMillis);
    }
  }

  onRouterDisconnected(from: ConnectionId): void {
    this.#routers.delete(from);
  }

  /** Mean duration of a request at speed 1; `null` before the first report. */
  meanMillis(service: ServiceName): number | null {
    return this.#meanMillis.get(service) ?? null;
  }

  /** Demand of each zone by service, in slots of speed 1. */
  byZone(now: MonotonicMillis): Map<ServiceName, Map<Zone, number>> {
    const sums = new Map<ServiceName, Map<Zone, number>>();
    for (const [connection, { zone, at, slots }] of this.#routers) {
      if (now - at > REPORT_EXPIRY_MILLIS) {
        this.#routers.delete(connection);
        continue;
      }
      for (const [service, demand] of slots) {
        const zones = sums.get(service) ?? new Map<Zone, number>();
        sums.set(service, zones);
        zones.set(zone, (zones.get(zone) ?? 0) + demand);
      }
    }
    return sums;
  }

  #recordMean(service: ServiceName, requests: number, workMillis: number): void {
    if (requests === 0 || workMillis === 0) {
      return;
    }
    const latest = workMillis / requests;
    const before = this.#meanMillis.get(service) ?? latest;
    const weight = requests / (requests + MEAN_REQUESTS);
    this.#meanMillis.set(service, before + weight * (latest - before));
  }
}
