/** Work that zones ask for, from the latest reports of their routers. */
import type { MonotonicMillis, ServiceName, Zone } from '../../model/identifiers.js';
import type { ConnectionId } from '../types.js';

/** A router's demand is smoothed over about this time: bursts of a second are for its own queue. */
const SMOOTHING_MILLIS = 2500;
/** A router that didn't report for this long asks for nothing. */
const SILENT_MILLIS = 4000;
/** A request's work is smoothed over about so many requests. */
const MEAN_REQUESTS = 200;

/** Requests for a service and what they take at an upstream of speed 1. */
export interface ServiceWork {
  readonly service: ServiceName;
  readonly requests: number;
  readonly workMillis: number;
}

interface RouterDemand {
  readonly zone: Zone;
  at: MonotonicMillis;
  number: number;
  /** Work by service, in slots of speed 1 that it fills. */
  readonly slots: Map<ServiceName, number>;
}

export class ZoneDemand {
  readonly #routers = new Map<ConnectionId, RouterDemand>();
  readonly #meanMillis = new Map<ServiceName, number>();

  /** Whether a report is the router's next one; `number` counts them. */
  isNext(from: ConnectionId, number: number): boolean {
    return number > (this.#routers.get(from)?.number ?? Number.NEGATIVE_INFINITY);
  }

  add(
    from: ConnectionId,
    report: { readonly zone: Zone; readonly number: number; readonly demand: readonly ServiceWork[] },
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
      this.#learnMean(service, requests, workMillis);
    }
  }

  gone(from: ConnectionId): void {
    this.#routers.delete(from);
  }

  /** Mean work of a request at speed 1; `null` while none was reported. */
  meanMillis(service: ServiceName): number | null {
    return this.#meanMillis.get(service) ?? null;
  }

  /** Slots of speed 1 that a service's requests of each zone would fill. */
  byZone(now: MonotonicMillis): Map<ServiceName, Map<Zone, number>> {
    const sums = new Map<ServiceName, Map<Zone, number>>();
    for (const [connection, { zone, at, slots }] of this.#routers) {
      if (now - at > SILENT_MILLIS) {
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

  #learnMean(service: ServiceName, requests: number, workMillis: number): void {
    if (requests === 0 || workMillis === 0) {
      return;
    }
    const latest = workMillis / requests;
    const before = this.#meanMillis.get(service) ?? latest;
    const weight = requests / (requests + MEAN_REQUESTS);
    this.#meanMillis.set(service, before + weight * (latest - before));
  }
}
