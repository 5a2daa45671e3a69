/** Settings of a control daemon and their defaults. */
import type Koa from 'koa';
import type { RaftTimings } from '../../consensus/types.js';
import { DEFAULT_RANGE_TIMINGS, type RangeTimings } from '../../lease/range-timings.js';
import { DEFAULT_LEASE_TIMINGS, type LeaseTimings } from '../../lease/types.js';
import { DEFAULT_QUARANTINE_SETTINGS, type QuarantineSettings } from '../../model/crash-suspect.js';
import type { HolderProtocol } from '../../model/holder-protocol.js';
import type { Address, ClusterId, ReplicaId, Zone } from '../../model/identifiers.js';
import { DEFAULT_WIRE_LIMITS, type WireIdentity, type WireLimits } from '../../wire/index.js';
import { type ConfigLeaseTimings, DEFAULT_CONFIG_LEASE_TIMINGS } from '../messages.js';
import type { ControlConfig } from '../types.js';
import type { ControlDaemon } from './control-daemon.js';

export interface ControlDaemonSettings {
  readonly cluster: ClusterId;
  readonly zone: Zone;
  /** Zones in addition to those of known upstreams; none by default. */
  readonly zones?: readonly Zone[];
  /** Folder created by `control init` or `control join`. */
  readonly dataFolder: string;
  /** Internal port, for replicas and routers. */
  readonly listen: Address;
  /** Address in the membership, which others connect to; defaults to `listen`. */
  readonly advertise?: Address;
  /** Internal addresses of members, for a joining replica; without any it waits until the members add it on their own. */
  readonly peers?: readonly Address[];
  /** Local IP address of outgoing connections; chosen by the system by default. */
  readonly outgoing?: string | undefined;
  /** HTTP port for operators, metrics and health. */
  readonly admin: Address;
  /** Shared by all processes of the cluster. */
  readonly secret: string;
  /** Paths and headers of calls to upstreams that announce themselves. */
  readonly holders?: HolderProtocol;
  readonly timings?: Partial<ControlDaemonTimings>;
  readonly wire?: Partial<WireLimits>;
  /** Creates the operators' HTTP API; without it only metrics and health are served. */
  readonly createAdminApp?: (daemon: ControlDaemon) => Koa;
}

/** Times in milliseconds. */
export interface ControlDaemonTimings {
  readonly raft: RaftTimings;
  readonly lease: LeaseTimings;
  readonly configLease: ConfigLeaseTimings;
  /** Timeout of session requests to upstreams. */
  readonly sessionMillis: number;
  /** Timeout of releases of keys, which wait for running requests on them. */
  readonly releaseMillis: number;
  readonly ranges: RangeTimings;
  /** Quarantine: when, and for how long, requests during which upstreams crashed are rejected. */
  readonly quarantine: QuarantineSettings;
  /** Timeout of operators' requests, after which their outcome is unknown. */
  readonly operationMillis: number;
  /** Maximum wait for another leader on a planned stop. */
  readonly transferMillis: number;
  /** How long requests on open admin connections are still served on a planned stop. */
  readonly idleMillis: number;
  /** How long a planned stop waits for operators to take their last answers and close their connections. */
  readonly adminGraceMillis: number;
  /** How long a planned stop waits for requests on admin connections; those that can't end by then are answered as they stand, or cut. */
  readonly adminStopMillis: number;
  /** Longest time that a planned stop waits for a spare to get this member's vote. */
  readonly voteReleaseMillis: number;
  readonly snapshotEntries: number;
  /** A silent voter is replaced by a caught-up spare after this time; 0: never. */
  readonly replaceAfterMillis: number;
  /** Spares become additional voters up to this number of voters; 0: they only replace voters. */
  readonly mostVoters: number;
}

export const DEFAULT_CONTROL_TIMINGS: ControlDaemonTimings = {
  raft: { electionTimeoutMillis: 300, heartbeatMillis: 60 },
  lease: DEFAULT_LEASE_TIMINGS,
  configLease: DEFAULT_CONFIG_LEASE_TIMINGS,
  sessionMillis: 300,
  releaseMillis: 3000,
  ranges: DEFAULT_RANGE_TIMINGS,
  quarantine: DEFAULT_QUARANTINE_SETTINGS,
  operationMillis: 15_000,
  transferMillis: 2000,
  idleMillis: 200,
  adminGraceMillis: 1000,
  adminStopMillis: 2500,
  voteReleaseMillis: 1000,
  snapshotEntries: 10_000,
  replaceAfterMillis: 0,
  mostVoters: 0,
};

/** Returns the configured timings, completed with the defaults. */
export function controlTimings(settings: ControlDaemonSettings): ControlDaemonTimings {
  return { ...DEFAULT_CONTROL_TIMINGS, ...settings.timings };
}

/** Returns the configured limits, completed with the defaults. */
export function controlWireLimits(settings: ControlDaemonSettings): WireLimits {
  return { ...DEFAULT_WIRE_LIMITS, ...settings.wire };
}

/** Greeting of a control member on the internal port, and the kinds of peers that it accepts there. */
export function controlWireIdentity(settings: ControlDaemonSettings, replica: ReplicaId): WireIdentity {
  const { cluster, secret, zone } = settings;
  return {
    greeting: { type: 'greeting', cluster, kind: 'control', name: replica, zone },
    secret,
    expects: ['control', 'router'],
  };
}

/** Settings of the core; `seed` randomizes election timeouts and should differ in each run. */
export function controlCoreConfig(
  settings: ControlDaemonSettings,
  self: ReplicaId,
  seed: number,
): ControlConfig {
  const { raft, lease, configLease, snapshotEntries, replaceAfterMillis, ranges, quarantine, mostVoters } =
    controlTimings(settings);
  const { cluster, zone, zones = [] } = settings;
  return {
    cluster,
    self,
    zone,
    zones,
    seed,
    raft,
    lease,
    configLease,
    snapshotEntries,
    replaceAfterMillis,
    ranges,
    quarantine,
    maxVoters: mostVoters,
  };
}
