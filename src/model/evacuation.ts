/** Zones that operators have taken out of use for a while. */
import type { Revision, WallMillis, Zone } from './identifiers.js';

/** An order that the upstreams of a zone get nothing new. It stands until it is taken back, also for upstreams that join meanwhile. */
export interface EvacuationRecord {
  readonly zone: Zone;
  /** The registry's clock when the order was taken. */
  readonly since: WallMillis;
  readonly revision: Revision;
}
