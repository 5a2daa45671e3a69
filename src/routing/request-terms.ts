/** Terms on which a request is served: those of its route, or of its service if it is addressed to a service. */
import type { RouteDefinition } from '../model/declaration.js';
import { PRIORITY_CLASSES, type ServiceDefinition } from '../model/service.js';

/** Fraction of the target time that the expected work may take; the rest allows for requests that take longer than expected. */
const MAX_WORK_SHARE = 0.6;
/** Fraction of the target time that a request may wait; the rest is for its work. */
const MAX_WAIT_SHARE = 0.35;

/** Times in milliseconds. */
export interface RequestTerms {
  /** Name of the route; `null`: the request is addressed to a service. */
  readonly route: string | null;
  /** Whether the request may run twice without harm. */
  readonly repeatable: boolean;
  /** Whether the ledger must grant a claim before the request is sent. */
  readonly needsClaim: boolean;
  readonly deadlineMillis: number;
  /** Longest wait in the router before the request is sent. */
  readonly holdMillis: number;
  /** Time within which an answer has its full value; `null`: no target, sooner is better. */
  readonly targetMillis: number | null;
  /** Longest expected time at an upstream that still meets the target; `null`: no target. */
  readonly inTimeMillis: number | null;
  /** Maximum number of upstreams to which the request may be sent. */
  readonly maxAttempts: number;
  /** Rank; 0 is the most important. */
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

/** Terms of a request that matches a route. A non-repeatable request is sent again only after proof that it did not run. */
export function termsOfRoute(route: RouteDefinition, service: ServiceDefinition): RequestTerms {
  return {
    route: route.name,
    repeatable: route.repeatable,
    needsClaim: false,
    deadlineMillis: route.timeoutMillis,
    holdMillis: Math.min(service.holdLimitMillis, route.targetMillis * MAX_WAIT_SHARE),
    targetMillis: route.targetMillis,
    inTimeMillis: route.targetMillis * MAX_WORK_SHARE,
    maxAttempts: route.maxAttempts,
    priority: route.priority,
  };
}
