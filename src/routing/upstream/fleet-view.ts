/** What the whole fleet measured of an upstream, as far as it is known now. */
import type { MonotonicMillis, ServiceName, UpstreamId, Zone } from '../../model/identifiers.js';

export interface FleetView {
  /** Speed, 1 for the mean of its service; `null`: not known to differ. */
  speedOf(upstream: UpstreamId, now: MonotonicMillis): number | null;
  /** What a request takes at an upstream of speed 1, in milliseconds; `null`: upstreams of the service aren't known to differ. */
  unevenMillis(service: ServiceName, zone: Zone, now: MonotonicMillis): number | null;
  /** Notes for how many turns of an upstream of speed 1 there was work at one of a zone. */
  noteTurns(service: ServiceName, zone: Zone, turns: number, now: MonotonicMillis): void;
  /** For how many such turns there usually is work; `null`: not known. */
  usualTurns(service: ServiceName, zone: Zone): number | null;
}
