/** Declarations that operators make: services, their keyspaces, upstreams and policies. */
import type { GrantCarrier } from './grant-carrier.js';
import type { Address, Incarnation, ServiceName, UpstreamId, WallMillis, Zone } from './identifiers.js';

/** Classes of requests, most important first. */
export const PRIORITY_CLASSES = ['critical', 'interactive', 'bulk'] as const;
export type PriorityClass = (typeof PRIORITY_CLASSES)[number];

/** A part of a service's keys, cut into shards. The longest matching rule of a service wins. */
export interface KeyspaceDefinition {
  readonly name: string;
  /**
   * `exact` matches one key, `prefix` all keys which start with `match` ('' matches every key). `range`: the keys are
   * numbers, owned in ranges that are cut as load asks for it; it stands alone and has no shards.
   */
  readonly kind: 'exact' | 'prefix' | 'range';
  readonly match: string;
  /** Number of shards, 1 or more; 1 for `exact`, 0 for `range`. */
  readonly shards: number;
}

/** Relative costs that placement minimises; each 0 or more. */
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
  /** `weigh`: a CEL expression giving a factor above 0 on the picked upstream's cost. */
  readonly weight?: string;
  /** `refuse`: seconds for Retry-After, as CEL; the measured drain time if left out. */
  readonly retryAfterSeconds?: string;
  /** `hold`: longest hold in milliseconds, as CEL. */
  readonly holdMillis?: string;
}

/** How ranges of a service's keys are granted. */
export interface RangeGrantTerms {
  readonly carrier: GrantCarrier;
  /** Whether it was another one before: keys may still be held by that. */
  readonly hasChanged: boolean;
}

/** What upstreams of a service bear while they are cold. */
export interface WarmupTerms {
  /** Requests a second, from all routers together. */
  readonly perSecond: number;
  /** How long one is cold after its start, in milliseconds. */
  readonly millis: number;
}

/** What operators declare for a service. */
export interface ServiceDefinition {
  readonly name: ServiceName;
  readonly keyed: boolean;
  /** Whether a request may be run twice without harm. */
  readonly repeatable: boolean;
  readonly priority: PriorityClass;
  /** Longest time a request may take, from its arrival. */
  readonly deadlineMillis: number;
  /** Requests an upstream works on at once. */
  readonly slotsPerUpstream: number;
  /** Retries as a share of first attempts, 0 to 1. */
  readonly retryBudget: number;
  /**
   * Retries that one router may save up; 10 if left out. All routers together may spend theirs in the same moment, so where
   * there are many it is small.
   */
  readonly savedRetries?: number;
  /** Requests a router keeps waiting for this service. */
  readonly queueLimit: number;
  /** Longest wait in a router's queue. */
  readonly holdLimitMillis: number;
  /** Whether identical reads in flight may share one attempt. */
  readonly coalesce: boolean;
  /** Answers up to this many bytes are read whole before the first byte goes out. */
  readonly wholeAnswerBytes: number;
  /** How long outcomes of non-repeatable requests are kept. */
  readonly retentionMillis: number;
  readonly placement: PlacementWeights;
  /** Planned moves of shards a minute. */
  readonly movesPerMinute: number;
  /** Empty for services that aren't keyed. */
  readonly keyspaces: readonly KeyspaceDefinition[];
  readonly policy: readonly PolicyRule[];
  /** Connections that one upstream takes from all routers together; left out: no bound is known. */
  readonly connectionsPerUpstream?: number;
  /** Path of its upstreams' health endpoint; left out: the routers' settings say. */
  readonly healthPath?: string;
  /** How ranges of its keys are granted; left out: by calls, and never otherwise. */
  readonly rangeGrants?: RangeGrantTerms;
  /** What its upstreams bear while they are cold; left out: nothing is known of that. */
  readonly warmup?: WarmupTerms;
  /**
   * How long keys are slow that come to an owner without the hand-over of their last one, in milliseconds; left out: nothing is known
   * of that.
   */
  readonly unwarmedKeyMillis?: number;
}

/** What operators declare for an upstream server. */
export interface UpstreamDefinition {
  readonly id: UpstreamId;
  readonly service: ServiceName;
  readonly address: Address;
  readonly zone: Zone;
  /** Names of the keyspaces whose shards it may hold; empty: all of its service's. */
  readonly mayHold: readonly string[];
  /** Set by `upstream drain`, or said by the upstream itself: no new work, its shards move away. */
  readonly leaving: boolean;
  /** Facts of an upstream that announced itself; left out for one that an operator declared. */
  readonly announced?: AnnouncedFacts;
}

/** What an upstream says of itself by heartbeat. */
export interface AnnouncedFacts {
  /** Requests that it works on at once. */
  readonly slots: number;
  /** How much longer it was to be cold when it said that it is, in milliseconds; 0: it is warm. */
  readonly warmupMillis: number;
  /**
   * Its start by its own clock, which names the run where upstreams start again under their id; left out: the id alone names it, and
   * a restarted one has another id.
   */
  readonly born?: WallMillis;
}

/** Name of the run of an upstream that announced itself. */
export function runOfAnnounced({ id, announced }: UpstreamDefinition): Incarnation {
  return announced?.born === undefined ? id : `${id}@${announced.born}`;
}
