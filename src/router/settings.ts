/** Settings of a router daemon, as its starter gives them. */
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
  /** Own IP number from which connections go out; the system's choice if left out. */
  readonly outgoing?: string | undefined;
  /** HTTP port for metrics and health. */
  readonly admin: Address;
  /** Internal addresses of the control members. */
  readonly control: readonly Address[];
  /** Shared by all processes of the cluster. */
  readonly secret: string;
  /** `GET` here gives the platform's list: `{"live":["id"],"leaving":["id"]}`. */
  readonly platformUrl?: string | null;
  /** Path of upstreams' health endpoint; that of `ternmount/upstream` if left out. */
  readonly probePath?: string;
  /** Whether declared routes say where requests go, by host and path; `false` if left out. */
  readonly byRoutes?: boolean;
  /** Names of shared headers; those left out keep the project's own. */
  readonly headers?: Partial<HeaderNames>;
  /** Whole seconds if left out. */
  readonly retryAfterUnit?: RetryAfterUnit;
  /** What the router does without contact to control; it refuses if left out. */
  readonly whenOutOfTouch?: WhenOutOfTouch;
  /** Whether less important requests, and those of a hot key, leave room for the others; `false` if left out. */
  readonly roomByRank?: boolean;
  /** What callers are told who are refused for want of room; `spread` if left out. */
  readonly returnTimes?: ReturnTimesMode;
  /** Width of the machine's link, each way, in megabits a second; large answers aren't held back for it if left out. */
  readonly linkMegabits?: number | undefined;
  /** How far routers may go together beyond what cold upstreams bear; the defaults if left out. */
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
  /** Larger answers of non-repeatable requests aren't kept for resends. */
  readonly storedAnswerBytes: number;
  /** Requests of one connection that are under way at once; beyond it the connection isn't read. */
  readonly requestsPerConnection: number;
  /** Bytes held for one connection: request bodies, answers, requests that wait. */
  readonly heldBytesPerConnection: number;
  /** Bytes of answers held at once, over all connections. */
  readonly heldAnswerBytes: number;
}

/** Times in milliseconds. */
export interface RouterTimings {
  readonly configLease: ConfigLeaseTimings;
  readonly claimMillis: number;
  /** Making a connection to an upstream. */
  readonly connectMillis: number;
  /** Silence in the middle of a streamed answer, of either end, after which it is broken off. */
  readonly streamStallMillis: number;
  /** Time between two probes of an upstream; 0: no probes. */
  readonly probeMillis: number;
  readonly probeTimeoutMillis: number;
  readonly platformMillis: number;
  /** How long requests on open connections are still answered on a planned stop. */
  readonly idleMillis: number;
  /** Longest wait for a configuration before callers are let in, to be refused until there is one. */
  readonly firstConfigurationMillis: number;
  /** How long a stopping router still takes connections while it calls itself not ready. */
  readonly lameDuckMillis: number;
}

/** What the ledger keeps, in bytes before base64 makes four characters of three of them. */
const LARGEST_STORED_ANSWER = Math.floor(STORED_BODY_LIMIT / 4) * 3;

export const DEFAULT_ROUTER_LIMITS: RouterLimits = {
  maxBodyBytes: 1024 * 1024,
  maxHeldBodyBytes: 256 * 1024 * 1024,
  connectionsPerUpstream: 32,
  storedAnswerBytes: LARGEST_STORED_ANSWER,
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
