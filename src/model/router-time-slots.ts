/** Time slots of a router, by which routers share the limited capacity of cold upstreams. */

/** Position of a router in the rounds of time slots. */
export interface RoundPosition {
  /** Offset of the router's slot in each round, from 0 to below 1, evenly spread over the routers. */
  readonly phaseShare: number;
  /** Number of routers that share the rounds; an estimate that is never too low. */
  readonly routers: number;
}

export interface RouterTimeSlots {
  /** Among the routers of its zone: only these send requests that any upstream can serve to the cold upstreams of that zone. */
  readonly inZone: RoundPosition;
  /** Among all routers, since every router sends to the owner of a key. */
  readonly inAll: RoundPosition;
}

const DEFAULT_POSITION: RoundPosition = { phaseShare: 0, routers: 300 };

/** Used until control assigns time slots: a high number of routers keeps each share small. */
export const DEFAULT_TIME_SLOTS: RouterTimeSlots = { inZone: DEFAULT_POSITION, inAll: DEFAULT_POSITION };
