/**
 * How the rate limit of an upstream is shared among all routers. A small part is assigned in even time slots, which need no
 * coordination; the control leader issues the rest as permits to routers with waiting requests. Both expire soon, so a partitioned
 * router can't withhold capacity for long.
 */

/**
 * Part of a limit assigned in even time slots, so that each router sees changes of the limit and can send some requests without a
 * leader.
 */
export const EVEN_SHARE = 0.2;
/** Part of a limit issued as permits. */
export const PERMIT_SHARE = 1 - EVEN_SHARE;
/** How long a permit is valid after it was issued. */
export const PERMIT_LIFETIME_MILLIS = 500;
/** How long an unused time slot stays valid. */
export const EVEN_TIME_SLOT_LIFETIME_MILLIS = 1000;
/**
 * Lower bound on the request rate to a limited upstream, since only a response can show that a limit has ended. One request in four
 * seconds over all routers.
 */
export const MIN_LIMIT_PER_SECOND = 0.25;

/** Requests per second that all routers together send under a limit. */
export function sharedPerSecond(perSecond: number): number {
  return Math.max(MIN_LIMIT_PER_SECOND, perSecond);
}
