/**
 * The declaration that operators apply as one versioned document: routes, their services, and limits on callers.
 * Upstreams of these services announce themselves.
 */
import type { GrantCarrier } from './grant-carrier.js';
import type { Revision, ServiceName } from './identifiers.js';
import type { WarmupLimit } from './service.js';

/** A weighted target of a route's traffic. */
export interface SplitPart {
  readonly service: ServiceName;
  /** Weight relative to the other parts of the route; at least 0, and above 0 for at least one part. */
  readonly weight: number;
}

/** Requests of one host under one path prefix, and how they are served. */
export interface RouteDefinition {
  readonly name: string;
  /** Lower case, without a port. */
  readonly host: string;
  /** Starts and ends with a slash; the longest matching prefix of a host wins. */
  readonly prefix: string;
  /** Whether requests are safe to run twice. */
  readonly repeatable: boolean;
  /** Request timeout in milliseconds. */
  readonly timeoutMillis: number;
  /** Latency target in milliseconds. */
  readonly targetMillis: number;
  /** Maximum number of upstreams that one request may be sent to. */
  readonly maxAttempts: number;
  /** 0 is the most important. */
  readonly priority: number;
  readonly split: readonly SplitPart[];
}

/** A service as declared in the document. */
export interface DeclaredService {
  readonly name: ServiceName;
  readonly healthPath: string;
  /** Maximum connections of one upstream, from all clients together. */
  readonly connections: number;
  /** Whether its upstreams own keys, which are numbers from 0 to `MAX_KEY`. */
  readonly keyed: boolean;
  /** How its key ranges are granted; `null` if it isn't keyed. */
  readonly grantedBy: GrantCarrier | null;
  /** Limits for its upstreams while they are cold; `null` if not declared. */
  readonly warmup: WarmupLimit | null;
  /** How long keys stay slow after a move without a handover from the last owner, in milliseconds; `null` if not declared. */
  readonly unwarmedKeyMillis: number | null;
}

/** Size and time limits on requests of a caller. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMillis: number;
  readonly idleMillis: number;
}

/** A route with the revision of its last change. */
export interface RouteRecord {
  readonly definition: RouteDefinition;
  readonly revision: Revision;
}

/** Properties of the document as a whole. */
export interface DeclarationRecord {
  /** Chosen by the operator; only increases. */
  readonly version: number;
  readonly limits: CallerLimits;
  readonly revision: Revision;
}

/** Used until a declaration sets other limits. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  headerBytes: 16 * 1024,
  bodyBytes: 1024 * 1024,
  headerMillis: 10_000,
  idleMillis: 65_000,
};
