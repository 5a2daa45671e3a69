/** Zones that operators have temporarily taken out of service. */
import type { Revision, WallMillis, Zone } from './identifiers.js';

/** Excludes the upstreams of a zone from new work until it is revoked, including upstreams that join meanwhile. */
export interface EvacuationRecord {
  readonly zone: Zone;
  /** Registry time at which the evacuation started. */
  readonly since: WallMillis;
  readonly revision: Revision;
}
