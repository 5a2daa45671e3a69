/** On what terms one request is served: those of its route, or of its service if it was addressed to that. */
import type { RouteDefinition } from '../model/declaration.js';
import { PRIORITY_CLASSES, type ServiceDefinition } from '../model/service.js';

/** Share of its target time that its work is expected to take at most: single requests take longer than expected. */
const IN_TIME_SHARE = 0.6;
/** Share of its target time that a request may wait: the rest is for its work. */
const WAITING_SHARE = 0.35;

/** Times in milliseconds. */
export interface RequestTerms {
  /** `null`: addressed to a service. */
  readonly route: string | null;
  /** Whether it may be run twice without harm. */
  readonly repeatable: boolean;
  /** Whether a claim on the ledger must stand before it is sent. */
  readonly needsClaim: boolean;
  readonly deadlineMillis: number;
  /** Longest wait in the router before it is sent. */
  readonly holdMillis: number;
  /** Time within which an answer is worth most; `null`: the sooner the better. */
  readonly targetMillis: number | null;
  /** Time at an upstream that still is in time; `null`: the sooner the better. */
  readonly inTimeMillis: number | null;
  /** Upstreams that it may be sent to at most. */
  readonly maxAttempts: number;
  /** Rank, 0 the most important. */
  readonly priority: number;
}

/** Terms of a request addressed to a service. */
export function termsOfService(definition: ServiceDefinition): RequestTerms {
  return {
    route: null,
    repeatable: definition.repeatable,
    needsClaim: !definition.repeatable,
    deadlineMillis: definition.deadlineMillis,
    holdMillis: definition.holdLimitMillis,
    targetMillis: null,
    inTimeMillis: null,
    maxAttempts: Number.POSITIVE_INFINITY,
    priority: PRIORITY_CLASSES.indexOf(definition.priority),
  };
}

/** Terms of a request that a route took. What must not be repeated is sent once, and only what is proved not run again. */
export function termsOfRoute(route: RouteDefinition, service: ServiceDefinition): RequestTerms {
  return {
    route: route.name,
    repeatable: route.repeatable,
    needsClaim: false,
    deadlineMillis: route.timeoutMillis,
    holdMillis: Math.min(service.holdLimitMillis, route.targetMillis * WAITING_SHARE),
    targetMillis: route.targetMillis,
    inTimeMillis: route.targetMillis * IN_TIME_SHARE,
    maxAttempts: route.maxAttempts,
    priority: route.priority,
  };
}
