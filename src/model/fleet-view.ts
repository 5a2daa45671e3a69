/** What the fleet knows of upstreams and zones that no single router sees, as the control leader tells it. */
import type { ServiceName, UpstreamId, Zone } from './identifiers.js';

/** Which state of a leader's knowledge a router holds. A leader that begins has a term of its own, and knows nothing. */
export interface FleetVersion {
  readonly term: number;
  readonly number: number;
}

export const UNTOLD_VERSION: FleetVersion = { term: 0, number: 0 };

/** Requests of one kind that an upstream answered. */
export interface UpstreamSample {
  readonly upstream: UpstreamId;
  /** Route or service that they were addressed to: those of one kind take alike. */
  readonly kind: string;
  readonly requests: number;
  /** Milliseconds that they were worked on, waits for a slot left out. */
  readonly workMillis: number;
  /** Whether the reporting router finds it out of order. */
  readonly isOut: boolean;
}

/** Requests that came to a router for a service without keys. */
export interface DemandSample {
  readonly service: ServiceName;
  readonly kind: string;
  readonly requests: number;
}

/** What a router adds to its load report. */
export interface FleetReport {
  readonly zone: Zone;
  /** Counts the reports of one run; one that isn't above the latest came twice or late. */
  readonly number: number;
  readonly have: FleetVersion;
  readonly upstreams: readonly UpstreamSample[];
  readonly demand: readonly DemandSample[];
}

/** Speed of an upstream, 1 for the mean of its service. */
export interface UpstreamSpeed {
  readonly upstream: UpstreamId;
  readonly speed: number;
}

/** A part of a zone's requests that goes to another zone. */
export interface SpillPart {
  readonly zone: Zone;
  readonly share: number;
}

/** Demand of a zone for a service against what its upstreams there can do. */
export interface ZoneRoom {
  readonly service: ServiceName;
  readonly zone: Zone;
  /** What a request takes at an upstream of speed 1, in milliseconds. */
  readonly meanMillis: number;
  /** Whether the speeds of the service's upstreams differ enough to count. */
  readonly isUneven: boolean;
  /** Part of the zone's slots that work there fills, what comes from other zones included. */
  readonly use: number;
  readonly spill: readonly SpillPart[];
}
