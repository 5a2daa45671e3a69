/** Fleet-wide view of upstreams and zones, which the control leader aggregates from the reports of all routers. */
import type { ServiceName, UpstreamId, Zone } from './identifiers.js';

/** Version of the leader's fleet view that a router holds. A new leader starts a new term with an empty view. */
export interface FleetViewVersion {
  readonly term: number;
  readonly number: number;
}

export const INITIAL_FLEET_VERSION: FleetViewVersion = { term: 0, number: 0 };

/** Requests of one kind that an upstream completed. */
export interface UpstreamSample {
  readonly upstream: UpstreamId;
  /** Route or service of the requests; requests of one kind take similar time. */
  readonly kind: string;
  readonly requests: number;
  /** Total processing time, without waits for a slot. */
  readonly workMillis: number;
  /** Whether the reporting router considers the upstream failed. */
  readonly isOut: boolean;
}

/** Requests that arrived at a router for a service without keys. */
export interface DemandSample {
  readonly service: ServiceName;
  readonly kind: string;
  readonly requests: number;
}

/** Fleet part of a router's load report. */
export interface FleetReport {
  readonly zone: Zone;
  /** Increases with each report of one run; a report that isn't above the latest is a duplicate or late. */
  readonly number: number;
  readonly have: FleetViewVersion;
  readonly upstreams: readonly UpstreamSample[];
  readonly demand: readonly DemandSample[];
}

/** Relative speed of an upstream; 1 is the mean of its service. */
export interface UpstreamSpeed {
  readonly upstream: UpstreamId;
  readonly speed: number;
}

/** Share of a zone's requests that is sent to another zone. */
export interface SpillShare {
  readonly zone: Zone;
  readonly share: number;
}

/** Demand of a zone for a service compared to the capacity of its upstreams there. */
export interface ZoneCapacity {
  readonly service: ServiceName;
  readonly zone: Zone;
  /** Mean processing time of a request at an upstream of speed 1. */
  readonly meanMillis: number;
  /** Whether the speeds of the service's upstreams differ significantly. */
  readonly isUneven: boolean;
  /** Share of the zone's slots in use, including requests from other zones. */
  readonly use: number;
  readonly spill: readonly SpillShare[];
}
