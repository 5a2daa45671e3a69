/** Options of a fleet run. */
import type { Deployment } from '../../settings/deployment.js';
import type { ScheduledFault } from './fault-schedule.js';

export interface FleetOptions {
  readonly deployment: Deployment;
  /** Duration of the load. */
  readonly seconds: number;
  readonly faults: readonly ScheduledFault[];
  /** Folder for data, logs, journals and the report; must be empty or not exist. */
  readonly folder: string;
  readonly controlMembers: number;
  readonly routersPerZone: number;
  /** Number of upstreams of each service with a dedicated process, which can be killed individually. */
  readonly ownProcesses: { readonly keyed: number; readonly unkeyed: number };
  /** Number of caller processes, which share the load. */
  readonly callers: number;
  /** Factor on the deployment's request rate. */
  readonly rateScale: number;
  readonly seed: number;
  /** Second octet of the fleet's addresses. */
  readonly network: number;
  /** Folder for CPU profiles of every process; `null` disables them. */
  readonly profileFolder: string | null;
  /** Number of reads that half of the callers pipeline on a connection; 1 disables pipelining. */
  readonly pipelining: number;
  /** Share of the reads whose caller disconnects before the answer. */
  readonly leaveShare: number;
  /** Speed factors of a service's upstreams relative to the deployment, assigned cyclically. */
  readonly speeds: readonly number[];
  /** Whether requests go by declared routes to upstreams that announce themselves. No service has keys then. */
  readonly declared: boolean;
  /** Whether faults are drawn from the seed, besides those of `faults`; only with `declared`. */
  readonly randomFaults: boolean;
  /** Delay with which the platform's list follows the actual state. */
  readonly platformLagMillis: number;
}

/** Defaults of a fleet run; options without one are required. */
export const FLEET_DEFAULTS = {
  seconds: 20,
  controlMembers: 3,
  routersPerZone: 1,
  ownProcesses: { keyed: 3, unkeyed: 1 },
  callers: 2,
  rateScale: 1,
  seed: 1,
  network: 160,
  profileFolder: null,
  pipelining: 1,
  leaveShare: 0,
  speeds: [1],
  declared: false,
  randomFaults: false,
  platformLagMillis: 30_000,
} as const;
