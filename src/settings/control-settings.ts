/** Settings of the control daemon. */
import { z } from 'zod';
import type { RaftTimings } from '../consensus/types.js';
import type { RangeTimings } from '../lease/range-timings.js';
import { DEFAULT_LEASE_TIMINGS, type LeaseTimings } from '../lease/types.js';
import type { ConfigLeaseTimings } from '../model/configuration-lease.js';
import type { QuarantineSettings } from '../model/crash-suspect.js';
import type { HolderProtocol } from '../model/holder-protocol.js';
import type { Address, ClusterId, Zone } from '../model/identifiers.js';
import { addressSchema, splitAddress } from './addresses.js';
import {
  checkAtMostHalf,
  checkZone,
  clockRateErrorSchema,
  completeConfigLease,
  hostSchema,
  isAnyHost,
  isLoopback,
  isRemotelyReachable,
  pathSchema,
  reachableAddressSchema,
  trustedNetworkSchema,
  withPort,
  zoneFields,
} from './common-schemas.js';
import { nameSchema } from './definition-schemas.js';
import { checkGrants, completeHolderProtocol, completeRangeTimings, grantsSchema } from './grant-settings.js';
import { loadLayers, type SettingName, type SettingsLayers, settingNamesOf } from './layers.js';
import { completeQuarantine, quarantineSchema } from './quarantine-settings.js';
import { durationSchema, positiveDurationSchema } from './units.js';

/** Settings of a control daemon, checked and completed. */
export interface ControlSettings {
  readonly cluster: ClusterId;
  /** Human-readable name in logs; `null`: only the replica id. */
  readonly replicaName: string | null;
  readonly zone: Zone;
  /** All zones; empty: not configured. */
  readonly zones: readonly Zone[];
  readonly dataFolder: string;
  /** Address of the internal port for other control members and routers. */
  readonly listen: Address;
  /** Address advertised to other processes; defaults to `listen`. */
  readonly advertise: Address;
  /** Local IP address of outgoing connections; `null`: chosen by the system. */
  readonly outgoing: string | null;
  /** Address of the operators' HTTP API. */
  readonly admin: Address;
  /** Internal addresses of the other members, for a joining replica. */
  readonly peers: readonly Address[];
  /** File with the secret shared by the daemons; `null`: none (loopback addresses or a trusted network only). */
  readonly secretFile: string | null;
  /** File with operators' tokens; `null`: no check (loopback addresses or a trusted network only). */
  readonly tokensFile: string | null;
  readonly raft: RaftTimings;
  readonly lease: LeaseTimings;
  readonly configLease: ConfigLeaseTimings;
  /** Number of log entries after which a snapshot is taken. */
  readonly snapshotEntries: number;
  /** Time after which an unreachable voter is replaced; 0: only an operator replaces voters. */
  readonly replaceAfterMillis: number;
  /** Creates the replica of a member with an empty data folder; `null`: `control init` or `control join` creates it. */
  readonly selfStart: { readonly bootstrap: boolean; readonly seeds: readonly Address[] } | null;
  /** Whether the data folder is locked against a second process. */
  readonly lockFolder: boolean;
  /** Simultaneous machine losses to tolerate: spares become voters until that holds. 0: spares only replace voters. */
  readonly toleratedLosses: number;
  /** Timings of grants to upstreams that announce themselves. */
  readonly ranges: RangeTimings;
  /** Quarantine: when, and for how long, requests during which upstreams crashed are rejected. */
  readonly quarantine: QuarantineSettings;
  /** Protocol for calls to upstreams that announce themselves. */
  readonly holders: HolderProtocol;
  /** Namespaces that log at debug and info level, in the syntax of the `debug` package. */
  readonly log: string;
}

/** Defaults of the control daemon. */
export const CONTROL_DEFAULTS = {
  electionTimeoutMillis: 300,
  heartbeatMillis: 60,
  snapshotEntries: 10_000,
  replaceAfterMillis: 0,
  lockFolder: true,
  toleratedLosses: 0,
  log: 'ternmount:*',
} as const;

const timingsSchema = z.strictObject({
  electionTimeout: positiveDurationSchema.optional(),
  heartbeat: positiveDurationSchema.optional(),
  lease: positiveDurationSchema.optional(),
  leaseRenew: positiveDurationSchema.optional(),
  configLease: positiveDurationSchema.optional(),
  configSync: positiveDurationSchema.optional(),
  clockRateError: clockRateErrorSchema.optional(),
});

const controlObject = z.strictObject({
  cluster: nameSchema,
  replicaName: nameSchema.optional(),
  ...zoneFields,
  dataFolder: pathSchema,
  listen: addressSchema,
  advertise: reachableAddressSchema.optional(),
  outgoing: hostSchema.optional(),
  admin: addressSchema,
  peers: z.array(reachableAddressSchema).optional(),
  secretFile: pathSchema.optional(),
  tokensFile: pathSchema.optional(),
  timings: timingsSchema.optional(),
  snapshotEntries: z.int({ error: 'expected a whole number' }).min(1, 'must be 1 or more').optional(),
  replaceAfter: durationSchema.optional(),
  bootstrap: z.boolean({ error: 'expected true or false' }).optional(),
  seeds: z.array(reachableAddressSchema).min(1, 'needs one or more').optional(),
  toleratedLosses: z.int({ error: 'expected a whole number' }).min(0, 'must be 0 or more').optional(),
  trustedNetwork: trustedNetworkSchema,
  lockFolder: z.boolean({ error: 'expected true or false' }).optional(),
  grants: grantsSchema.optional(),
  quarantine: quarantineSchema.optional(),
  log: z.string().optional(),
});
type ControlFields = z.output<typeof controlObject>;

function completeTimings(fields: ControlFields): Pick<ControlSettings, 'raft' | 'lease' | 'configLease'> {
  const timings = fields.timings ?? {};
  const clockRateError = timings.clockRateError ?? DEFAULT_LEASE_TIMINGS.clockRateError;
  return {
    raft: {
      electionTimeoutMillis: timings.electionTimeout ?? CONTROL_DEFAULTS.electionTimeoutMillis,
      heartbeatMillis: timings.heartbeat ?? CONTROL_DEFAULTS.heartbeatMillis,
    },
    lease: {
      leaseMillis: timings.lease ?? DEFAULT_LEASE_TIMINGS.leaseMillis,
      renewMillis: timings.leaseRenew ?? DEFAULT_LEASE_TIMINGS.renewMillis,
      clockRateError,
    },
    configLease: completeConfigLease({ ...timings, clockRateError }),
  };
}

function checkControl(fields: ControlFields, context: z.RefinementCtx): void {
  checkZone(fields, context);
  const { raft, lease, configLease } = completeTimings(fields);
  const path = ['timings'];
  const timing = (name: string, millis: number) => ({ name, millis });
  checkAtMostHalf(
    timing('heartbeat', raft.heartbeatMillis),
    timing('electionTimeout', raft.electionTimeoutMillis),
    path,
    context,
  );
  checkAtMostHalf(timing('leaseRenew', lease.renewMillis), timing('lease', lease.leaseMillis), path, context);
  checkAtMostHalf(
    timing('configSync', configLease.syncMillis),
    timing('configLease', configLease.configLeaseMillis),
    path,
    context,
  );
  if (isAnyHost(fields.listen) && fields.advertise === undefined) {
    const message = 'is missing: listen covers all addresses, so the one for other processes must be set';
    context.addIssue({ code: 'custom', path: ['advertise'], message });
  }
  if (fields.bootstrap !== undefined && fields.seeds === undefined) {
    context.addIssue({ code: 'custom', path: ['seeds'], message: 'is missing: bootstrap needs it' });
  }
  checkGrants(fields.grants, context);
  if (fields.listen === fields.admin) {
    context.addIssue({ code: 'custom', path: ['admin'], message: 'must differ from listen' });
  }
  const trusted = fields.trustedNetwork === true;
  if (fields.secretFile === undefined && !trusted && isRemotelyReachable(fields.listen)) {
    const message = 'is missing: the internal port needs a secret unless listen is a loopback address';
    context.addIssue({ code: 'custom', path: ['secretFile'], message });
  }
  if (fields.tokensFile === undefined && !trusted && !isLoopback(fields.admin)) {
    const message = 'is missing: the operators’ API needs tokens unless admin is a loopback address';
    context.addIssue({ code: 'custom', path: ['tokensFile'], message });
  }
}

/** Uses only the hosts of the seeds: all members have the same internal port. */
function selfStartOf(fields: ControlFields): ControlSettings['selfStart'] {
  const { seeds, bootstrap = false } = fields;
  if (seeds === undefined) {
    return null;
  }
  const port = splitAddress(fields.advertise ?? fields.listen)?.port ?? 0;
  return { bootstrap, seeds: seeds.map((seed) => withPort(seed, port)) };
}

/** Schema of a control daemon's settings, with checks and defaults. */
export const controlSettingsSchema = controlObject.superRefine(checkControl).transform(
  (fields): ControlSettings => ({
    cluster: fields.cluster,
    replicaName: fields.replicaName ?? null,
    zone: fields.zone,
    zones: fields.zones ?? [],
    dataFolder: fields.dataFolder,
    listen: fields.listen,
    advertise: fields.advertise ?? fields.listen,
    outgoing: fields.outgoing ?? null,
    admin: fields.admin,
    peers: fields.peers ?? [],
    secretFile: fields.secretFile ?? null,
    tokensFile: fields.tokensFile ?? null,
    ...completeTimings(fields),
    snapshotEntries: fields.snapshotEntries ?? CONTROL_DEFAULTS.snapshotEntries,
    replaceAfterMillis: fields.replaceAfter ?? CONTROL_DEFAULTS.replaceAfterMillis,
    ranges: completeRangeTimings(fields.grants),
    quarantine: completeQuarantine(fields.quarantine),
    holders: completeHolderProtocol(fields.grants),
    selfStart: selfStartOf(fields),
    lockFolder: fields.lockFolder ?? CONTROL_DEFAULTS.lockFolder,
    toleratedLosses: fields.toleratedLosses ?? CONTROL_DEFAULTS.toleratedLosses,
    log: fields.log ?? CONTROL_DEFAULTS.log,
  }),
);

/** Names of the control daemon's settings in the environment and flags. */
export const CONTROL_SETTING_NAMES: readonly SettingName[] = settingNamesOf(controlObject);

/** Reads the settings of a control daemon. Throws `SettingsError`. */
export function loadControlSettings(layers: SettingsLayers): ControlSettings {
  return loadLayers(controlSettingsSchema, CONTROL_SETTING_NAMES, layers);
}
