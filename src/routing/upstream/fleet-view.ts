/** Measurements of upstreams by all routers together, as far as they are current. */
import type { MonotonicMillis, ServiceName, UpstreamId, Zone } from '../../model/identifiers.js';

export interface FleetView {
  /** Relative speed of an upstream, 1 for the mean of its service; `null` if no difference is known. */
  speedOf(upstream: UpstreamId, now: MonotonicMillis): number | null;
  /** Service time of a request at an upstream of speed 1, in milliseconds; `null` if the service's upstreams aren't known to differ. */
  meanMillisIfUneven(service: ServiceName, zone: Zone, now: MonotonicMillis): number | null;
  /** Records the load that an answer from a zone reported, relative to its upstream's capacity: 1 if all slots of an upstream of speed 1 are used. */
  recordRelativeLoad(service: ServiceName, zone: Zone, relativeLoad: number, now: MonotonicMillis): void;
  /** The usual relative load in a zone; `null` if unknown. */
  usualRelativeLoad(service: ServiceName, zone: Zone): number | null;
}
