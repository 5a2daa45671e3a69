/** Which part of each zone's requests goes to which other zone, from demand and room of the zones. */
import type { SpillPart } from '../../model/fleet-view.js';
import type { Zone } from '../../model/identifiers.js';

/**
 * Part of a zone's room that its own requests may fill before others' room is used. Above it queues grow faster than routers hear of
 * them; below it bytes would cross that needn't.
 */
const KEPT_USE = 0.97;
/** A smaller part isn't sent: the measure of demand and room is no finer. */
const LEAST_SHARE = 0.03;

/** Slots of speed 1. */
export interface ZoneBalance {
  readonly zone: Zone;
  readonly demand: number;
  readonly room: number;
}

export interface ZonePlan {
  readonly zone: Zone;
  /** Part of the room that is filled once requests go as planned. */
  readonly use: number;
  readonly spill: readonly SpillPart[];
}

/**
 * What a zone can't serve itself goes to those with room left, in proportion to it. What none has room for stays: sent away, it would
 * only be refused elsewhere.
 */
export function planSpill(zones: readonly ZoneBalance[]): ZonePlan[] {
  const surplusOf = ({ demand, room }: ZoneBalance): number => Math.max(0, demand - room * KEPT_USE);
  const freeOf = ({ demand, room }: ZoneBalance): number => Math.max(0, room * KEPT_USE - demand);
  const surplus = sum(zones.map(surplusOf));
  const free = sum(zones.map(freeOf));
  const sent = surplus === 0 ? 0 : Math.min(1, free / surplus);
  return zones.map((zone) => {
    const away = surplusOf(zone) * sent;
    const share = zone.demand === 0 ? 0 : away / zone.demand;
    const taken = free === 0 ? 0 : (freeOf(zone) / free) * surplus * sent;
    const others = zones.filter((other) => freeOf(other) > 0);
    return {
      zone: zone.zone,
      use: zone.room === 0 ? 1 : (zone.demand - away + taken) / zone.room,
      spill:
        share < LEAST_SHARE
          ? []
          : others.map((other) => ({ zone: other.zone, share: (share * freeOf(other)) / free })),
    };
  });
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
