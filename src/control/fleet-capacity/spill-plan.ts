/** Plans which part of each zone's requests goes to which other zone, from the zones' demand and capacity. */
import type { SpillShare } from '../../model/fleet-view.js';
import type { Zone } from '../../model/identifiers.js';

/**
 * Share of a zone's capacity that its own requests may use before they spill to other zones. A higher share lets queues grow faster than
 * routers are informed of them; a lower one causes unnecessary traffic between zones.
 */
const MAX_OWN_UTILIZATION = 0.97;
/** Smaller shares aren't spilled: the estimates of demand and capacity are no more precise than this. */
const MIN_SHARE = 0.03;

/** Demand and capacity of a zone, in slots of speed 1. */
export interface ZoneBalance {
  readonly zone: Zone;
  readonly demand: number;
  readonly capacity: number;
}

export interface ZonePlan {
  readonly zone: Zone;
  /** Utilization of the zone's capacity once requests are distributed as planned. */
  readonly use: number;
  readonly spill: readonly SpillShare[];
}

/**
 * Spills what a zone can't serve itself to the zones with free capacity, in proportion to it. What exceeds the capacity of all zones stays,
 * because it would only be rejected elsewhere.
 */
export function planSpill(zones: readonly ZoneBalance[]): ZonePlan[] {
  const surplusOf = ({ demand, capacity }: ZoneBalance): number =>
    Math.max(0, demand - capacity * MAX_OWN_UTILIZATION);
  const freeOf = ({ demand, capacity }: ZoneBalance): number =>
    Math.max(0, capacity * MAX_OWN_UTILIZATION - demand);
  const surplus = sum(zones.map(surplusOf));
  const free = sum(zones.map(freeOf));
  const spilledPart = surplus === 0 ? 0 : Math.min(1, free / surplus);
  return zones.map((zone) => {
    const spilled = surplusOf(zone) * spilledPart;
    const share = zone.demand === 0 ? 0 : spilled / zone.demand;
    const received = free === 0 ? 0 : (freeOf(zone) / free) * surplus * spilledPart;
    const others = zones.filter((other) => freeOf(other) > 0);
    return {
      zone: zone.zone,
      use: zone.capacity === 0 ? 1 : (zone.demand - spilled + received) / zone.capacity,
      spill:
        share < MIN_SHARE
          ? []
          : others.map((other) => ({ zone: other.zone, share: (share * freeOf(other)) / free })),
    };
  });
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
