/** Settings of a router daemon. */
import { type ConfigLeaseTimings, DEFAULT_CONFIG_LEASE_TIMINGS } from '../control/messages.js';
import { STORED_BODY_LIMIT } from '../ledger/limits.js';
import { DEFAULT_HEADER_NAMES, type HeaderNames } from '../model/header-names.js';
import type { Address, ClusterId, RouterId, Zone } from '../model/identifiers.js';
import type { WarmupBounds } from '../model/warmup-bounds.js';
import type { ReturnTimesMode, WhenOutOfTouch } from '../routing/types.js';
import { DEFAULT_HTTP_LIMITS, type HttpLimits } from '../wire/http/http-listener.js';
import { DEFAULT_WIRE_LIMITS, type WireLimits } from '../wire/index.js';
import type { RetryAfterUnit } from './caller/caller-exchange.js';

export interface RouterDaemonSettings {
  readonly cluster: ClusterId;
  readonly router: RouterId;
  readonly zone: Zone;
  /** HTTP port for callers. */
  readonly listen: Address;
  /** Local IP address of outgoing connections; chosen by the system if left out. */
  readonly outgoing?: string | undefined;
  /** HTTP port for metrics and health. */
  readonly admin: Address;
  /** Port for other routers, whose connections to upstreams this one carries; if left out, it carries none and uses no other router. */
  readonly relay?: Address | undefined;
  /** The region of each zone, as far as known. */
  readonly regions?: Readonly<Record<Zone, string>> | undefined;
  /** Internal addresses of the control members. */
  readonly control: readonly Address[];
  /** Shared by all processes of the cluster. */
  readonly secret: string;
  /** `GET` on this URL returns the platform's list: `{"live":["id"],"leaving":["id"]}`. */
  readonly platformUrl?: string | null;
  /** Path of the upstreams' health endpoint; that of `ternmount/upstream` if left out. */
  readonly probePath?: string;
  /** Whether requests are routed by the declared routes, that is by host and path; `false` if left out. */
  readonly byRoutes?: boolean;
  /** Names of shared headers; defaults apply to those left out. */
  readonly headers?: Partial<HeaderNames>;
  /** Unit of `Retry-After`; whole seconds if left out. */
  readonly retryAfterUnit?: RetryAfterUnit;
  /** Behaviour without contact to control; requests are refused if left out. */
  readonly whenOutOfTouch?: WhenOutOfTouch;
  /** Whether less important requests, and those of a hot key, leave headroom for the others; `false` if left out. */
  readonly roomByRank?: boolean;
  /** Return times given to callers that are refused for lack of capacity; `spread` if left out. */
  readonly returnTimes?: ReturnTimesMode;
  /** Bandwidth of the machine's link in megabits a second, in each direction; if left out, large answers aren't throttled to it. */
  readonly linkMegabits?: number | undefined;
  /** How far all routers together may exceed the capacity of cold upstreams; the defaults if left out. */
  readonly warmup?: WarmupBounds;
  readonly limits?: Partial<RouterLimits>;
  readonly timings?: Partial<RouterTimings>;
  readonly http?: Partial<HttpLimits>;
  readonly wire?: Partial<WireLimits>;
}

export interface RouterLimits {
  /** Larger request bodies are refused with 413. */
  readonly maxBodyBytes: number;
  /** Request bodies held at once, over all requests. */
  readonly maxHeldBodyBytes: number;
  /** Connections to one upstream. */
  readonly connectionsPerUpstream: number;
  /** Larger answers to non-repeatable requests aren't stored for resends. */
  readonly storedAnswerBytes: number;
  /** Requests in progress on one connection; at the limit the connection isn't read. */
  readonly requestsPerConnection: number;
  /** Bytes held for one connection: request bodies, answers, waiting requests. */
  readonly heldBytesPerConnection: number;
  /** Bytes of answers held at once, over all connections. */
  readonly heldAnswerBytes: number;
}

/** Durations in milliseconds. */
export interface RouterTimings {
  readonly configLease: ConfigLeaseTimings;
  readonly claimMillis: number;
  /** Time limit for connecting to an upstream. */
  readonly connectMillis: number;
  /** A streamed answer is aborted if either end is silent for this long. */
  readonly streamStallMillis: number;
  /** Time between two probes of an upstream; 0 disables probes. */
  readonly probeMillis: number;
  readonly probeTimeoutMillis: number;
  readonly platformMillis: number;
  /** How long requests on open connections are still answered during a planned stop. */
  readonly idleMillis: number;
  /** Longest wait for a configuration before callers can connect; their requests are refused until there is one. */
  readonly firstConfigurationMillis: number;
  /** How long a stopping router still accepts connections while it reports that it isn't ready. */
  readonly lameDuckMillis: number;
  /** Time from the start of a planned stop until the process may be killed. */
  readonly stopGraceMillis: number;
}

/** Limit of the ledger in bytes before base64, which encodes three bytes as four characters. */
const MAX_STORED_ANSWER_BYTES = Math.floor(STORED_BODY_LIMIT / 4) * 3;

export const DEFAULT_ROUTER_LIMITS: RouterLimits = {
  maxBodyBytes: 1024 * 1024,
  maxHeldBodyBytes: 96 * 1024 * 1024,
  connectionsPerUpstream: 32,
  storedAnswerBytes: MAX_STORED_ANSWER_BYTES,
  requestsPerConnection: 32,
  heldBytesPerConnection: 1024 * 1024,
  heldAnswerBytes: 32 * 1024 * 1024,
};

export const DEFAULT_ROUTER_TIMINGS: RouterTimings = {
  configLease: DEFAULT_CONFIG_LEASE_TIMINGS,
  claimMillis: 1000,
  connectMillis: 500,
  streamStallMillis: 30_000,
  probeMillis: 2000,
  probeTimeoutMillis: 1000,
  platformMillis: 2000,
  idleMillis: 500,
  firstConfigurationMillis: 3000,
  lameDuckMillis: 0,
  stopGraceMillis: 10_000,
};

const DEFAULT_PROBE_PATH = '/ternmount/v1/health';

/** Settings with all defaults filled in. */
export interface CompleteRouterSettings extends RouterDaemonSettings {
  readonly probePath: string;
  readonly byRoutes: boolean;
  readonly headers: HeaderNames;
  readonly retryAfterUnit: RetryAfterUnit;
  readonly limits: RouterLimits;
  readonly timings: RouterTimings;
  readonly http: HttpLimits;
  readonly wire: WireLimits;
}

export function completeRouterSettings(settings: RouterDaemonSettings): CompleteRouterSettings {
  return {
    ...settings,
    probePath: settings.probePath ?? DEFAULT_PROBE_PATH,
    byRoutes: settings.byRoutes ?? false,
    headers: { ...DEFAULT_HEADER_NAMES, ...settings.headers },
    retryAfterUnit: settings.retryAfterUnit ?? 'whole-seconds',
    limits: { ...DEFAULT_ROUTER_LIMITS, ...settings.limits },
    timings: { ...DEFAULT_ROUTER_TIMINGS, ...settings.timings },
    http: { ...DEFAULT_HTTP_LIMITS, ...settings.http },
    wire: { ...DEFAULT_WIRE_LIMITS, ...settings.wire },
  };
}
