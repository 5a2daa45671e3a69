/** Routers that carry connections of other routers to upstreams. */
import type { Address, RouterId, Zone } from './identifiers.js';

/** A router that listens for other routers. */
export interface RelayPeer {
  readonly router: RouterId;
  readonly zone: Zone;
  /** Address of its port for other routers. */
  readonly address: Address;
}

/** A router's report that it can carry connections. */
export interface RelayReport {
  readonly peer: RelayPeer;
  /** Number of upstreams that it reaches only through other routers. */
  readonly lostPaths: number;
}
