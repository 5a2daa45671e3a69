/** What a scale run measured. */
import type { UsageRates } from './usage.js';

/** Rates of one process, or one hollow one, of a role. */
export interface RoleRow {
  readonly role: string;
  /** Processes, or hollow ones, that the means are over. */
  readonly count: number;
  readonly rates: UsageRates;
}

/** Times in milliseconds, sizes in bytes. */
export interface ScaleResult {
  readonly daemons: number;
  readonly shards: number;
  readonly upstreams: number;
  readonly hollowRouters: number;
  /** Load average of the machine at the start and at the end; other processes may have had a part in it. */
  readonly machineLoad: readonly [number, number];
  /** Changes sent again because their outcome was unknown: the leader was lost meanwhile. */
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
    /** Until every router knew. */
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
    /** Longest that any control member was held up by one step meanwhile. */
    readonly longestStepMillis: number;
    /** Routers elsewhere that lost their configuration lease meanwhile. */
    readonly othersWithoutLease: number;
  };
  /** Resident bytes of all processes of the run at the end of the steady state. */
  readonly totalBytes: number;
}
