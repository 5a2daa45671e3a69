/** Operator declarations: services with keyspaces and policies, and upstreams. */
import { DEFAULT_GRANT_CARRIER, type GrantCarrier } from './grant-carrier.js';
import type { Address, Incarnation, ServiceName, UpstreamId, WallMillis, Zone } from './identifiers.js';

/** Priority classes of requests, most important first. */
export const PRIORITY_CLASSES = ['critical', 'interactive', 'bulk'] as const;
export type PriorityClass = (typeof PRIORITY_CLASSES)[number];

/** Part of a service's keys, split into shards. The longest matching rule of a service wins. */
export interface KeyspaceDefinition {
  readonly name: string;
  /**
   * `exact` matches one key, `prefix` all keys that start with `match` ('' matches every key). `range`: keys are
   * numbers, owned in ranges that are split by load; it must be the only keyspace of its service and has no shards.
   */
  readonly kind: 'exact' | 'prefix' | 'range';
  readonly match: string;
  /** Number of shards: 1 for `exact`, 0 for `range`, otherwise at least 1. */
  readonly shards: number;
}

/** Weights of the costs that placement minimises; each at least 0. */
export interface PlacementWeights {
  readonly unavailability: number;
  readonly imbalance: number;
  readonly churn: number;
}

/** One rule of a policy program. `when`, and the numbers in actions, are CEL expressions. */
export interface PolicyRule {
  readonly name: string;
  readonly when: string;
  readonly action: 'weigh' | 'refuse' | 'hold';
  /** `weigh`: a CEL expression for a factor above 0 on the picked upstream's cost. */
  readonly weight?: string;
  /** `refuse`: CEL expression for Retry-After in seconds; defaults to the measured drain time. */
  readonly retryAfterSeconds?: string;
  /** `hold`: CEL expression for the maximum hold in milliseconds. */
  readonly holdMillis?: string;
}

/** How a service's key ranges are granted. */
export interface RangeGrantSettings {
  readonly carrier: GrantCarrier;
  /** Whether the carrier has changed: upstreams may still hold keys granted by the previous one. */
  readonly hasChanged: boolean;
}

/** Used for services without settings of their own. */
export const DEFAULT_RANGE_GRANTS: RangeGrantSettings = { carrier: DEFAULT_GRANT_CARRIER, hasChanged: false };

/** Limit for upstreams of a service while they are cold. */
export interface WarmupLimit {
  /** Requests per second from all routers together. */
  readonly perSecond: number;
  /** How long an upstream is cold after its start. */
  readonly millis: number;
}

/** Declaration of a service. */
export interface ServiceDefinition {
  readonly name: ServiceName;
  readonly keyed: boolean;
  /** Whether requests are safe to run twice. */
  readonly repeatable: boolean;
  readonly priority: PriorityClass;
  /** Maximum duration of a request, from its arrival. */
  readonly deadlineMillis: number;
  /** Concurrent requests of an upstream. */
  readonly slotsPerUpstream: number;
  /** Retries as a share of first attempts, from 0 to 1. */
  readonly retryBudget: number;
  /**
   * Retries that one router may accumulate; defaults to 10. All routers may spend theirs at the same moment, so the
   * value should be small where there are many.
   */
  readonly savedRetries?: number;
  /** Maximum requests waiting for this service in one router. */
  readonly queueLimit: number;
  /** Maximum wait in a router's queue. */
  readonly holdLimitMillis: number;
  /** Whether identical reads in flight may share one attempt. */
  readonly coalesce: boolean;
  /** Responses of up to this many bytes are read whole before the first byte is sent. */
  readonly wholeAnswerBytes: number;
  /** How long outcomes of non-repeatable requests are kept. */
  readonly retentionMillis: number;
  readonly placement: PlacementWeights;
  /** Maximum planned shard moves per minute. */
  readonly movesPerMinute: number;
  /** Empty for services without keys. */
  readonly keyspaces: readonly KeyspaceDefinition[];
  readonly policy: readonly PolicyRule[];
  /** Maximum connections of one upstream from all routers together; unbounded if omitted. */
  readonly connectionsPerUpstream?: number;
  /** Path of its upstreams' health endpoint; defaults to the routers' settings. */
  readonly healthPath?: string;
  /** How its key ranges are granted; if omitted, by requests and never changed. */
  readonly rangeGrants?: RangeGrantSettings;
  /** Limit for its upstreams while they are cold; unknown if omitted. */
  readonly warmup?: WarmupLimit;
  /**
   * How long keys stay slow after a move without a handover from the last owner, in milliseconds; unknown if omitted.
   */
  readonly unwarmedKeyMillis?: number;
}

/** Declaration of an upstream server. */
export interface UpstreamDefinition {
  readonly id: UpstreamId;
  readonly service: ServiceName;
  readonly address: Address;
  readonly zone: Zone;
  /** Names of the keyspaces whose shards it may hold; empty for all keyspaces of its service. */
  readonly mayHold: readonly string[];
  /** Set by `upstream drain` or by the upstream itself: it gets no new work and its shards move away. */
  readonly leaving: boolean;
  /** Properties of an upstream that announced itself; omitted if an operator declared it. */
  readonly announced?: AnnouncedProperties;
}

/** Properties that an upstream announces by heartbeat. */
export interface AnnouncedProperties {
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Remaining warm-up at the time of the announcement, in milliseconds; 0 if the upstream is warm. */
  readonly warmupMillis: number;
  /**
   * Start time by the upstream's own clock, which identifies the run where a restarted upstream keeps its id. If omitted, the id
   * alone identifies the run, and a restarted upstream has another id.
   */
  readonly born?: WallMillis;
}

/** Returns the run of an announced upstream. */
export function announcedRun({ id, announced }: UpstreamDefinition): Incarnation {
  return announced?.born === undefined ? id : `${id}@${announced.born}`;
}
