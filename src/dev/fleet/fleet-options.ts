/** What a fleet run is asked to do. */
import type { Deployment } from '../../settings/deployment.js';
import type { ScheduledFault } from './fault-schedule.js';

export interface FleetOptions {
  readonly deployment: Deployment;
  /** Length of the load. */
  readonly seconds: number;
  readonly faults: readonly ScheduledFault[];
  /** Folder for data, logs, journals and the report; it must be empty or not exist. */
  readonly folder: string;
  readonly controlMembers: number;
  readonly routersPerZone: number;
  /** Upstreams of each service that get a process of their own, so that they can be killed alone. */
  readonly ownProcesses: { readonly keyed: number; readonly unkeyed: number };
  /** Caller processes, which share the load. */
  readonly callers: number;
  /** Part of the deployment's request rate, 1 for all of it. */
  readonly rateScale: number;
  readonly seed: number;
  /** Second number of the fleet's addresses. */
  readonly network: number;
  /** Folder for processor profiles of every process; `null`: none are made. */
  readonly profileFolder: string | null;
  /** Reads that half of the callers send behind one another on a connection; 1: none. */
  readonly pipelining: number;
  /** Share of the reads whose caller goes away before the answer. */
  readonly leaveShare: number;
  /** Speeds of a service's upstreams, in turn, as factors on the deployment's. */
  readonly speeds: readonly number[];
  /** How far the platform's list lags. */
  readonly platformLagMillis: number;
}

/** Defaults of a fleet run; the rest must be given. */
export const FLEET_DEFAULTS = {
  seconds: 20,
  controlMembers: 3,
  routersPerZone: 1,
  ownProcesses: { keyed: 3, unkeyed: 1 },
  callers: 2,
  rateScale: 1,
  seed: 1,
  network: 77,
  profileFolder: null,
  pipelining: 1,
  leaveShare: 0,
  speeds: [1],
  platformLagMillis: 30_000,
} as const;
