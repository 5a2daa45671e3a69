/** A router's places among those that share what cold upstreams bear. */

/** A place in rounds of turns. */
export interface RoundPlace {
  /** Where its turns lie in each round, 0 to below 1, spread evenly over the routers. */
  readonly phaseShare: number;
  /** Routers that take turns, as far as whoever says so knows; never too few. */
  readonly routers: number;
}

export interface RouterTurn {
  /** Among the routers of its zone, which alone use the cold upstreams of that zone that any of them can use. */
  readonly inZone: RoundPlace;
  /** Among all routers, which all send to the owner of a key. */
  readonly inAll: RoundPlace;
}

const UNTOLD_PLACE: RoundPlace = { phaseShare: 0, routers: 300 };

/** Until a router is told its place it takes itself for one of many. */
export const UNTOLD_TURN: RouterTurn = { inZone: UNTOLD_PLACE, inAll: UNTOLD_PLACE };
