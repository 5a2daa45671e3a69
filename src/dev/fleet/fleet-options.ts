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
  readonly routers: number;
  /** Stand-in upstreams in one process. */
  readonly upstreamsPerProcess: number;
  /** Part of the deployment's request rate, 1 for all of it. */
  readonly rateFactor: number;
  readonly seed: number;
  /** Second number of the fleet's addresses. */
  readonly network: number;
  /** Whether connections between processes go through the stand-in link. */
  readonly link: boolean;
}

/** Defaults of a fleet run; the rest must be given. */
export const FLEET_DEFAULTS = {
  seconds: 20,
  controlMembers: 3,
  routers: 3,
  upstreamsPerProcess: 1,
  rateFactor: 1,
  seed: 1,
} as const;
