/** Settings of the router daemon. */
import { z } from 'zod';
import type { ConfigLeaseTimings } from '../model/configuration-lease.js';
import type { Address, ClusterId, RouterId, Zone } from '../model/identifiers.js';
import { DEFAULT_WARMUP_BOUNDS, type WarmupBounds } from '../model/warmup-bounds.js';
import { addressSchema } from './addresses.js';
import {
  checkAtMostHalf,
  checkZone,
  clockRateErrorSchema,
  completeConfigLease,
  headerNameSchema,
  hostSchema,
  isRemotelyReachable,
  pathSchema,
  reachableAddressSchema,
  trustedNetworkSchema,
  withPort,
  zoneFields,
} from './common-schemas.js';
import { nameSchema } from './definition-schemas.js';
import { loadLayers, type SettingName, type SettingsLayers, settingNamesOf } from './layers.js';
import { durationSchema, positiveDurationSchema, sizeSchema } from './units.js';

/** Settings of a router daemon, checked and completed. */
export interface RouterSettings {
  readonly cluster: ClusterId;
  readonly router: RouterId;
  readonly zone: Zone;
  /** Address of the HTTP port for callers. */
  readonly listen: Address;
  /** Local IP address of outgoing connections; `null`: chosen by the system. */
  readonly outgoing: string | null;
  /** Address of the port for health, metrics and status. */
  readonly admin: Address;
  /** Address of the port for other routers; `null`: connections of other routers aren't carried, and this router uses none of theirs. */
  readonly relay: Address | null;
  /** The region of each zone, as far as known. */
  readonly regions: Readonly<Record<Zone, string>>;
  /** Internal addresses of the control members. */
  readonly control: readonly Address[];
  /** File with the secret shared by the daemons; `null`: none (control on loopback addresses or a trusted network only). */
  readonly secretFile: string | null;
  readonly configLease: ConfigLeaseTimings;
  readonly claimTimeoutMillis: number;
  /** Health and load endpoint of upstreams. */
  readonly probePath: string;
  /** Interval between probes of an upstream; 0: no probes. */
  readonly probeIntervalMillis: number;
  /** URL of the platform's list of machines; `null`: none. */
  readonly platformUrl: string | null;
  readonly platformIntervalMillis: number;
  /** Maximum number of connections to one upstream. */
  readonly connectionsPerUpstream: number;
  /** Maximum size of a request body. */
  readonly requestBodyBytes: number;
  /** Maximum number of concurrent requests on one caller's connection. */
  readonly requestsPerConnection: number;
  /** Maximum number of bytes buffered for one caller's connection. */
  readonly heldBytesPerConnection: number;
  /** Maximum number of response bytes buffered for all callers together. */
  readonly heldAnswerBytes: number;
  /** Whether requests are routed by declared routes, that is by host and path. */
  readonly byRoutes: boolean;
  /** Lower-case names of shared headers that differ from the default ones. */
  readonly headers: RouterHeaders;
  readonly retryAfterUnit: 'whole-seconds' | 'fractions';
  readonly whenOutOfTouch: 'refuse' | 'serve';
  /** How far all routers together may exceed the capacity of upstreams that warm up, in any second. */
  readonly warmup: WarmupBounds;
  /** Whether less important requests, and those of a hot key, leave headroom for the others. */
  readonly roomByRank: boolean;
  /** Retry time for callers refused for lack of capacity: reserved for each, or spread around the time of free capacity. */
  readonly returnTimes: 'spread' | 'reserved';
  /** Bandwidth of the machine's network link in each direction, in megabits per second; `undefined`: unknown. */
  readonly linkMegabits: number | undefined;
  /** How long a router that shuts down still accepts connections while it reports itself as not ready. */
  readonly lameDuckMillis: number;
  /** Time from the start of a planned stop until the platform kills the process. */
  readonly stopGraceMillis: number;
  /** Maximum wait for a configuration before callers can connect; 0: no wait, and their requests wait briefly for it instead. */
  readonly firstConfigurationMillis: number;
  readonly log: string;
}

/** Names of headers that routers exchange with callers and upstreams. */
export type RouterHeaders = z.output<typeof headersSchema>;

/** Defaults of the router daemon. */
export const ROUTER_DEFAULTS = {
  claimTimeoutMillis: 1000,
  probePath: '/ternmount/v1/health',
  probeIntervalMillis: 1000,
  platformIntervalMillis: 1000,
  connectionsPerUpstream: 16,
  requestBodyBytes: 1024 * 1024,
  requestsPerConnection: 32,
  heldBytesPerConnection: 1024 * 1024,
  heldAnswerBytes: 32 * 1024 * 1024,
  byRoutes: false,
  retryAfterUnit: 'whole-seconds',
  whenOutOfTouch: 'refuse',
  lameDuckMillis: 0,
  stopGraceMillis: 10_000,
  roomByRank: false,
  returnTimes: 'spread',
  firstConfigurationMillis: 3000,
  log: 'ternmount:*',
} as const;

const countSchema = z.int({ error: 'expected a whole number' }).min(1, 'must be 1 or more');

const headersSchema = z.strictObject({
  requestId: headerNameSchema.optional(),
  deadline: headerNameSchema.optional(),
  instance: headerNameSchema.optional(),
  key: headerNameSchema.optional(),
  load: headerNameSchema.optional(),
  notRun: headerNameSchema.optional(),
  limit: headerNameSchema.optional(),
  leaving: headerNameSchema.optional(),
});

const portSchema = z
  .int({ error: 'expected a port' })
  .min(1, 'must be 1 to 65535')
  .max(65_535, 'must be 1 to 65535');

const routerObject = z.strictObject({
  cluster: nameSchema,
  router: nameSchema,
  ...zoneFields,
  listen: addressSchema,
  outgoing: hostSchema.optional(),
  admin: addressSchema,
  relay: reachableAddressSchema.optional(),
  regions: z.record(nameSchema, nameSchema, { error: 'expected a region for each zone' }).optional(),
  control: z
    .array(reachableAddressSchema, { error: 'expected a list of addresses' })
    .min(1, 'needs one or more'),
  controlPort: portSchema.optional(),
  secretFile: pathSchema.optional(),
  trustedNetwork: trustedNetworkSchema,
  byRoutes: z.boolean({ error: 'expected true or false' }).optional(),
  headers: headersSchema.optional(),
  retryAfterUnit: z
    .enum(['whole-seconds', 'fractions'], { error: 'expected whole-seconds or fractions' })
    .optional(),
  whenOutOfTouch: z.enum(['refuse', 'serve'], { error: 'expected refuse or serve' }).optional(),
  warmup: z
    .strictObject({
      overrunFactor: z.number({ error: 'expected a factor' }).min(1, 'must be 1 or more').optional(),
      marginRequests: z.number({ error: 'expected a number' }).min(0, 'must be 0 or more').optional(),
    })
    .optional(),
  roomByRank: z.boolean({ error: 'expected true or false' }).optional(),
  returnTimes: z.enum(['spread', 'reserved'], { error: 'expected spread or reserved' }).optional(),
  linkMegabits: z.number({ error: 'expected megabits a second' }).positive('must be above 0').optional(),
  lameDuck: durationSchema.optional(),
  stopGrace: positiveDurationSchema.optional(),
  firstConfiguration: durationSchema.optional(),
  timings: z
    .strictObject({
      configLease: positiveDurationSchema.optional(),
      configSync: positiveDurationSchema.optional(),
      clockRateError: clockRateErrorSchema.optional(),
    })
    .optional(),
  claimTimeout: positiveDurationSchema.optional(),
  probePath: z.string().startsWith('/', 'must start with /').optional(),
  probeInterval: durationSchema.optional(),
  platformUrl: z.url({ protocol: /^https?$/, error: 'expected an http or https URL' }).optional(),
  platformInterval: positiveDurationSchema.optional(),
  connectionsPerUpstream: countSchema.optional(),
  requestBody: sizeSchema.optional(),
  requestsPerConnection: countSchema.optional(),
  heldBytesPerConnection: sizeSchema.optional(),
  heldAnswers: sizeSchema.optional(),
  log: z.string().optional(),
});
type RouterFields = z.output<typeof routerObject>;

function checkRouter(fields: RouterFields, context: z.RefinementCtx): void {
  checkZone(fields, context);
  const { syncMillis, configLeaseMillis } = completeConfigLease(fields.timings ?? {});
  checkAtMostHalf(
    { name: 'configSync', millis: syncMillis },
    { name: 'configLease', millis: configLeaseMillis },
    ['timings'],
    context,
  );
  const trusted = fields.trustedNetwork === true;
  const hasSecret = fields.secretFile !== undefined;
  if (!hasSecret && !trusted && fields.control.some(isRemotelyReachable)) {
    const message = 'is missing: control needs a secret unless all its addresses are loopback ones';
    context.addIssue({ code: 'custom', path: ['secretFile'], message });
  }
  if (fields.listen === fields.admin) {
    context.addIssue({ code: 'custom', path: ['admin'], message: 'must differ from listen' });
  }
  if (fields.relay !== undefined && [fields.listen, fields.admin].includes(fields.relay)) {
    context.addIssue({ code: 'custom', path: ['relay'], message: 'must differ from listen and admin' });
  }
  if (fields.relay !== undefined && !trusted && !hasSecret && isRemotelyReachable(fields.relay)) {
    const message = 'is missing: a relay needs a secret unless its address is a loopback one';
    context.addIssue({ code: 'custom', path: ['secretFile'], message });
  }
}

/** Returns the members' internal addresses; `controlPort` replaces the ports given in `control`. */
function controlAddresses({ control, controlPort }: RouterFields): readonly Address[] {
  return controlPort === undefined ? control : control.map((address) => withPort(address, controlPort));
}

/** Schema of a router daemon's settings, with checks and defaults. */
export const routerSettingsSchema = routerObject.superRefine(checkRouter).transform(
  (fields): RouterSettings => ({
    cluster: fields.cluster,
    router: fields.router,
    zone: fields.zone,
    listen: fields.listen,
    outgoing: fields.outgoing ?? null,
    admin: fields.admin,
    relay: fields.relay ?? null,
    regions: fields.regions ?? {},
    control: controlAddresses(fields),
    secretFile: fields.secretFile ?? null,
    configLease: completeConfigLease(fields.timings ?? {}),
    claimTimeoutMillis: fields.claimTimeout ?? ROUTER_DEFAULTS.claimTimeoutMillis,
    probePath: fields.probePath ?? ROUTER_DEFAULTS.probePath,
    probeIntervalMillis: fields.probeInterval ?? ROUTER_DEFAULTS.probeIntervalMillis,
    platformUrl: fields.platformUrl ?? null,
    platformIntervalMillis: fields.platformInterval ?? ROUTER_DEFAULTS.platformIntervalMillis,
    connectionsPerUpstream: fields.connectionsPerUpstream ?? ROUTER_DEFAULTS.connectionsPerUpstream,
    requestBodyBytes: fields.requestBody ?? ROUTER_DEFAULTS.requestBodyBytes,
    requestsPerConnection: fields.requestsPerConnection ?? ROUTER_DEFAULTS.requestsPerConnection,
    heldBytesPerConnection: fields.heldBytesPerConnection ?? ROUTER_DEFAULTS.heldBytesPerConnection,
    heldAnswerBytes: fields.heldAnswers ?? ROUTER_DEFAULTS.heldAnswerBytes,
    byRoutes: fields.byRoutes ?? ROUTER_DEFAULTS.byRoutes,
    headers: fields.headers ?? {},
    retryAfterUnit: fields.retryAfterUnit ?? ROUTER_DEFAULTS.retryAfterUnit,
    whenOutOfTouch: fields.whenOutOfTouch ?? ROUTER_DEFAULTS.whenOutOfTouch,
    warmup: { ...DEFAULT_WARMUP_BOUNDS, ...fields.warmup },
    roomByRank: fields.roomByRank ?? ROUTER_DEFAULTS.roomByRank,
    returnTimes: fields.returnTimes ?? ROUTER_DEFAULTS.returnTimes,
    linkMegabits: fields.linkMegabits,
    lameDuckMillis: fields.lameDuck ?? ROUTER_DEFAULTS.lameDuckMillis,
    stopGraceMillis: fields.stopGrace ?? ROUTER_DEFAULTS.stopGraceMillis,
    firstConfigurationMillis: fields.firstConfiguration ?? ROUTER_DEFAULTS.firstConfigurationMillis,
    log: fields.log ?? ROUTER_DEFAULTS.log,
  }),
);

/** Names of the router daemon's settings in the environment and flags. */
export const ROUTER_SETTING_NAMES: readonly SettingName[] = settingNamesOf(routerObject);

/** Reads the settings of a router daemon. Throws `SettingsError`. */
export function loadRouterSettings(layers: SettingsLayers): RouterSettings {
  return loadLayers(routerSettingsSchema, ROUTER_SETTING_NAMES, layers);
}
