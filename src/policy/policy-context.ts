/** The variables that a policy program may name, and their types. Counts are `int`, times and ratios `double`. */
import { type Context, Environment } from '@marcbachmann/cel-js';
import type { PriorityClass } from '../model/service.js';

/** What `refuse` and `hold` rules see. */
export interface PolicyContext {
  readonly request: {
    readonly class: PriorityClass;
    readonly method: string;
    /** Empty for a request without one. */
    readonly key: string;
    readonly service: string;
    /** 1 for the first attempt. */
    readonly attempt: number;
  };
  /** Requests of the service that wait in this router. */
  readonly queue: { readonly length: number; readonly limit: number };
  /** Requests of the service in flight as a share of the slots that this router may use; above 1 when overloaded. */
  readonly load: number;
  /** Zone of this router. */
  readonly zone: string;
  readonly deadline: { readonly remainingMillis: number };
}

/** What `weigh` rules see besides. */
export interface PolicyUpstream {
  readonly id: string;
  readonly zone: string;
  readonly inFlight: number;
  /** Requests that this router may have in flight there. */
  readonly slots: number;
  /** Decayed outstanding work that it reported, of others, in requests. */
  readonly load: number;
  /** Smoothed service time. */
  readonly serviceMillis: number;
}

/** Limits on one expression; beyond them it is refused when it is proposed. */
export const EXPRESSION_LIMITS = {
  maxCharacters: 1000,
  maxAstNodes: 200,
  maxDepth: 30,
  maxListElements: 64,
  maxMapEntries: 16,
  maxCallArguments: 4,
} as const;

/** Limits on a whole program. */
export const PROGRAM_LIMITS = {
  maxRules: 64,
  /** What one look at a request evaluates at most, over all its expressions, in comparisons of numbers. */
  maxCost: 4000,
} as const;

function createEnvironment(): Environment {
  const { maxCharacters: _, ...limits } = EXPRESSION_LIMITS;
  const text = 'string';
  return new Environment({ limits })
    .registerVariable({
      name: 'request',
      schema: { class: text, method: text, key: text, service: text, attempt: 'int' },
    })
    .registerVariable({ name: 'queue', schema: { length: 'int', limit: 'int', fill: 'double' } })
    .registerVariable('load', 'double')
    .registerVariable('zone', 'string')
    .registerVariable({ name: 'deadline', schema: { remaining_ms: 'int' } });
}

/** Variables of `refuse` and `hold` rules. */
export const REQUEST_ENVIRONMENT = createEnvironment();

/** Variables of `weigh` rules. */
export const WEIGH_ENVIRONMENT = createEnvironment().registerVariable({
  name: 'upstream',
  schema: {
    id: 'string',
    zone: 'string',
    in_flight: 'int',
    slots: 'int',
    load: 'double',
    service_ms: 'double',
  },
});

/** The context as CEL values. */
export function celContextOf(context: PolicyContext): Context {
  const { request, queue } = context;
  return {
    request: { ...request, attempt: toInt(request.attempt) },
    queue: {
      length: toInt(queue.length),
      limit: toInt(queue.limit),
      fill: queue.limit > 0 ? queue.length / queue.limit : 1,
    },
    load: context.load,
    zone: context.zone,
    deadline: { remaining_ms: toInt(context.deadline.remainingMillis) },
  };
}

/** An upstream as CEL values. */
export function celUpstreamOf(upstream: PolicyUpstream): Context {
  return {
    id: upstream.id,
    zone: upstream.zone,
    in_flight: toInt(upstream.inFlight),
    slots: toInt(upstream.slots),
    load: upstream.load,
    service_ms: upstream.serviceMillis,
  };
}

function toInt(value: number): bigint {
  return BigInt(Math.trunc(value));
}
