/**
 * What operators declare as one document under one version: routes, the services that they lead to, and limits on what
 * callers may send. Upstreams of these services announce themselves.
 */
import type { GrantCarrier } from './grant-carrier.js';
import type { Revision, ServiceName } from './identifiers.js';
import type { WarmupTerms } from './service.js';

/** A part of a route's requests. */
export interface SplitPart {
  readonly service: ServiceName;
  /** Share among the parts of the route; 0 or more, one of them above 0. */
  readonly weight: number;
}

/** Requests of one host under one path prefix, and the terms on which they are served. */
export interface RouteDefinition {
  readonly name: string;
  /** Lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash; the longest prefix of a host that begins the path wins. */
  readonly prefix: string;
  /** Whether a request may be run twice without harm. */
  readonly repeatable: boolean;
  /** Longest time that a request is held, in milliseconds. */
  readonly timeoutMillis: number;
  /** Time within which an answer is worth most, in milliseconds. */
  readonly targetMillis: number;
  /** Upstreams that one request may be sent to at most. */
  readonly maxAttempts: number;
  /** 0 is the most important. */
  readonly priority: number;
  readonly split: readonly SplitPart[];
}

/** A service as the document declares it. */
export interface DeclaredService {
  readonly name: ServiceName;
  readonly healthPath: string;
  /** Connections that one upstream takes from all callers together. */
  readonly connections: number;
  /** Whether its upstreams own keys, numbers from 0 to `LARGEST_KEY`. */
  readonly keyed: boolean;
  /** How ranges of its keys are granted; `null` if it isn't keyed. */
  readonly grantedBy: GrantCarrier | null;
  /** What its upstreams bear while they are cold; `null`: nothing is said of that. */
  readonly warmup: WarmupTerms | null;
  /** How long keys are slow that come without their last owner's hand-over, in milliseconds; `null`: nothing is said of that. */
  readonly unwarmedKeyMillis: number | null;
}

/** Bounds on what a caller may send and on how long it may take; bytes and milliseconds. */
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

/** What holds for the document as a whole. */
export interface DeclarationRecord {
  /** Picked by the operator; only grows. */
  readonly version: number;
  readonly limits: CallerLimits;
  readonly revision: Revision;
}

/** Used until a document says otherwise. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  headerBytes: 16 * 1024,
  bodyBytes: 1024 * 1024,
  headerMillis: 10_000,
  idleMillis: 65_000,
};
