/** Settings of a control daemon, as its starter gives them. */
import type Koa from 'koa';
import type { RaftTimings } from '../../consensus/types.js';
import { DEFAULT_RANGE_TIMINGS, type RangeTimings } from '../../lease/range-timings.js';
import { DEFAULT_LEASE_TIMINGS, type LeaseTimings } from '../../lease/types.js';
import { DEFAULT_QUARANTINE_TERMS, type QuarantineTerms } from '../../model/crash-suspect.js';
import type { HolderProtocol } from '../../model/holder-protocol.js';
import type { Address, ClusterId, ReplicaId, Zone } from '../../model/identifiers.js';
import { DEFAULT_WIRE_LIMITS, type WireIdentity, type WireLimits } from '../../wire/index.js';
import { type ConfigLeaseTimings, DEFAULT_CONFIG_LEASE_TIMINGS } from '../messages.js';
import type { ControlConfig } from '../types.js';
import type { ControlDaemon } from './control-daemon.js';

/** What a control daemon is started with. */
export interface ControlDaemonSettings {
  readonly cluster: ClusterId;
  readonly zone: Zone;
  /** Zones that there are, beside those of known upstreams; none if left out. */
  readonly zones?: readonly Zone[];
  /** Folder made by `control init` or `control join`. */
  readonly dataFolder: string;
  /** Internal port, for replicas and routers. */
  readonly listen: Address;
  /** What others connect to, as the membership names it; `listen` if left out. */
  readonly advertise?: Address;
  /** Internal addresses of members, for a replica that joins; with none it waits until it is taken in unasked. */
  readonly peers?: readonly Address[];
  /** Own IP number from which connections go out; the system's choice if left out. */
  readonly outgoing?: string | undefined;
  /** HTTP port for operators, metrics and health. */
  readonly admin: Address;
  /** Shared by all processes of the cluster. */
  readonly secret: string;
  /** How upstreams that announce themselves are called. */
  readonly holders?: HolderProtocol;
  readonly timings?: Partial<ControlDaemonTimings>;
  readonly wire?: Partial<WireLimits>;
  /** Makes the operators' HTTP API; without it only metrics and health are served. */
  readonly createAdminApp?: (daemon: ControlDaemon) => Koa;
}

/** Times in milliseconds. */
export interface ControlDaemonTimings {
  readonly raft: RaftTimings;
  readonly lease: LeaseTimings;
  readonly configLease: ConfigLeaseTimings;
  /** An upstream that didn't answer a session request in this time failed. */
  readonly sessionMillis: number;
  /** The same for taking keys back, which waits for what runs on them. */
  readonly releaseMillis: number;
  readonly ranges: RangeTimings;
  /** When requests under which upstreams end are refused. */
  readonly quarantine: QuarantineTerms;
  /** An operator's request that wasn't answered in this time has an unknown outcome. */
  readonly operationMillis: number;
  /** Longest wait for another leader on a planned stop. */
  readonly transferMillis: number;
  /** How long requests on open admin connections are still answered on a planned stop. */
  readonly idleMillis: number;
  readonly snapshotEntries: number;
  /** Replace a silent voter by a caught-up spare after this; 0: never. */
  readonly replaceAfterMillis: number;
  /** Spares get a vote of their own up to this many voters; 0: only in the place of another. */
  readonly mostVoters: number;
}

/** What a control daemon uses unless its settings say otherwise. */
export const DEFAULT_CONTROL_TIMINGS: ControlDaemonTimings = {
  raft: { electionTimeoutMillis: 300, heartbeatMillis: 60 },
  lease: DEFAULT_LEASE_TIMINGS,
  configLease: DEFAULT_CONFIG_LEASE_TIMINGS,
  sessionMillis: 300,
  releaseMillis: 3000,
  ranges: DEFAULT_RANGE_TIMINGS,
  quarantine: DEFAULT_QUARANTINE_TERMS,
  operationMillis: 15_000,
  transferMillis: 2000,
  idleMillis: 200,
  snapshotEntries: 10_000,
  replaceAfterMillis: 0,
  mostVoters: 0,
};

/** The timings given, and the defaults for the others. */
export function controlTimings(settings: ControlDaemonSettings): ControlDaemonTimings {
  return { ...DEFAULT_CONTROL_TIMINGS, ...settings.timings };
}

/** The limits given, and the defaults for the others. */
export function controlWireLimits(settings: ControlDaemonSettings): WireLimits {
  return { ...DEFAULT_WIRE_LIMITS, ...settings.wire };
}

/** How a control member shows itself on the internal port, and whom it expects there. */
export function controlWireIdentity(settings: ControlDaemonSettings, replica: ReplicaId): WireIdentity {
  const { cluster, secret, zone } = settings;
  return {
    greeting: { type: 'greeting', cluster, kind: 'control', name: replica, zone },
    secret,
    expects: ['control', 'router'],
  };
}

/** Settings of the core; `seed` spreads elections and should be another one in each run. */
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
    mostVoters,
  };
}
