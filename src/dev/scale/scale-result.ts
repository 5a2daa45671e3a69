/** The result of a scale run. */
import type { UsageRates } from './usage.js';

/** Mean rates of one process, or of one simulated process, of a role. */
export interface RoleRow {
  readonly role: string;
  /** Number of processes, or simulated processes, in the mean. */
  readonly count: number;
  readonly rates: UsageRates;
}

/** Times in milliseconds, sizes in bytes. */
export interface ScaleResult {
  readonly daemons: number;
  readonly shards: number;
  readonly upstreams: number;
  readonly hollowRouters: number;
  /** Load average of the machine at the start and at the end, which includes other processes. */
  readonly machineLoad: readonly [number, number];
  /** Changes that were resent because their outcome was unknown after the loss of the leader. */
  readonly resends: number;
  /** From the first declaration until each shard had an owner. */
  readonly firstGrantsMillis: number;
  readonly rows: readonly RoleRow[];
  readonly configurationChange: {
    readonly count: number;
    readonly acceptedP50: number;
    readonly inForceP50: number;
    readonly inForceMax: number;
  };
  readonly lostServer: {
    readonly shards: number;
    /** Until the last of its shards was granted elsewhere. */
    readonly grantedMillis: number;
    /** Until every router received the new owners. */
    readonly knownMillis: number;
  };
  readonly routerRestart: {
    readonly millis: number;
    readonly bytes: number;
    readonly cpuMillis: number;
    readonly longestStepMillis: number;
  };
  readonly zoneRestart: {
    readonly routers: number;
    readonly millis: number;
    readonly bytesPerRouter: number;
    /** Longest time that a single step blocked any control member meanwhile. */
    readonly longestStepMillis: number;
    /** Number of routers in other zones that lost their configuration lease meanwhile. */
    readonly othersWithoutLease: number;
  };
  /** Resident bytes of all processes of the run at the end of the steady state. */
  readonly totalBytes: number;
}
