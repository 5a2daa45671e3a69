/** Settings of the control daemon. */
import { z } from 'zod';
import type { RaftTimings } from '../consensus/types.js';
import type { RangeTimings } from '../lease/range-timings.js';
import { DEFAULT_LEASE_TIMINGS, type LeaseTimings } from '../lease/types.js';
import type { ConfigLeaseTimings } from '../model/configuration-lease.js';
import type { QuarantineTerms } from '../model/crash-suspect.js';
import type { HolderProtocol } from '../model/holder-protocol.js';
import type { Address, ClusterId, Zone } from '../model/identifiers.js';
import { addressSchema, splitAddress } from './addresses.js';
import {
  checkHalf,
  checkZone,
  clockRateErrorSchema,
  completeConfigLease,
  hostSchema,
  isAnyHost,
  isForOthers,
  isLoopback,
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

/** What a control daemon starts from. */
export interface ControlSettings {
  readonly cluster: ClusterId;
  /** Name for people in logs; `null`: the replica id alone. */
  readonly replicaName: string | null;
  readonly zone: Zone;
  /** Zones that there are; empty: not said. */
  readonly zones: readonly Zone[];
  readonly dataFolder: string;
  /** Internal port, for other control members and routers. */
  readonly listen: Address;
  /** What others are told to connect to; the same as `listen` unless said. */
  readonly advertise: Address;
  /** Own IP number from which connections go out; `null`: the system's choice. */
  readonly outgoing: string | null;
  /** Port of the operators' HTTP API. */
  readonly admin: Address;
  /** Internal addresses of the other members, for a replica that joins. */
  readonly peers: readonly Address[];
  /** File with the secret that the project's own processes share; `null`: none (loopback addresses only). */
  readonly secretFile: string | null;
  /** File with operators' tokens; `null`: no check (loopback addresses only). */
  readonly tokensFile: string | null;
  readonly raft: RaftTimings;
  readonly lease: LeaseTimings;
  readonly configLease: ConfigLeaseTimings;
  /** Log entries after which a snapshot is taken. */
  readonly snapshotEntries: number;
  /** 0: voters are never replaced without an operator. */
  readonly replaceAfterMillis: number;
  /** How a member whose data folder is empty comes to be; `null`: `control init` or `control join` makes the folder. */
  readonly selfStart: { readonly bootstrap: boolean; readonly seeds: readonly Address[] } | null;
  /** Whether the data folder is locked against a second process. */
  readonly lockFolder: boolean;
  /** Machines whose loss at one time must be survived; spares get votes until it is. 0: only in the place of others. */
  readonly toleratedLosses: number;
  /** Grants to upstreams that announce themselves. */
  readonly ranges: RangeTimings;
  /** When requests under which upstreams end are refused. */
  readonly quarantine: QuarantineTerms;
  /** How such upstreams are called. */
  readonly holders: HolderProtocol;
  /** Namespaces that log at debug and info level, as for `debug`. */
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
  const at = (name: string, millis: number) => ({ name, millis });
  checkHalf(
    at('heartbeat', raft.heartbeatMillis),
    at('electionTimeout', raft.electionTimeoutMillis),
    path,
    context,
  );
  checkHalf(at('leaseRenew', lease.renewMillis), at('lease', lease.leaseMillis), path, context);
  checkHalf(
    at('configSync', configLease.syncMillis),
    at('configLease', configLease.configLeaseMillis),
    path,
    context,
  );
  if (isAnyHost(fields.listen) && fields.advertise === undefined) {
    const message = 'is missing: listen takes all addresses, so others must be told which one to use';
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
  if (fields.secretFile === undefined && !trusted && isForOthers(fields.listen)) {
    const message = 'is missing: the internal port needs a secret unless listen is a loopback address';
    context.addIssue({ code: 'custom', path: ['secretFile'], message });
  }
  if (fields.tokensFile === undefined && !trusted && !isLoopback(fields.admin)) {
    const message = 'is missing: the operators’ API needs tokens unless admin is a loopback address';
    context.addIssue({ code: 'custom', path: ['tokensFile'], message });
  }
}

/** Members share one internal port, so a seed's host is all that counts. */
function selfStartOf(fields: ControlFields): ControlSettings['selfStart'] {
  const { seeds, bootstrap = false } = fields;
  if (seeds === undefined) {
    return null;
  }
  const port = splitAddress(fields.advertise ?? fields.listen)?.port ?? 0;
  return { bootstrap, seeds: seeds.map((seed) => withPort(seed, port)) };
}

/** Settings of the control daemon, checked and completed. */
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

/** Each setting of the control daemon, as the environment and flags can give it. */
export const CONTROL_SETTING_NAMES: readonly SettingName[] = settingNamesOf(controlObject);

/** Reads the settings of a control daemon. Throws `SettingsError`. */
export function loadControlSettings(layers: SettingsLayers): ControlSettings {
  return loadLayers(controlSettingsSchema, CONTROL_SETTING_NAMES, layers);
}
