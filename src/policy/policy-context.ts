/** The variables of policy programs and their types. Counts are `int`, times and ratios `double`. */
import { type Context, Environment } from '@marcbachmann/cel-js';
import type { PriorityClass } from '../model/service.js';

/** Input of `refuse` and `hold` rules. */
export interface PolicyContext {
  readonly request: {
    readonly class: PriorityClass;
    readonly method: string;
    /** Empty for a request without a key. */
    readonly key: string;
    readonly service: string;
    /** 1 for the first attempt. */
    readonly attempt: number;
  };
  /** Waiting requests of the service in this router. */
  readonly queue: { readonly length: number; readonly limit: number };
  /** In-flight requests of the service divided by the slots that this router may use; above 1 when overloaded. */
  readonly load: number;
  /** Zone of this router. */
  readonly zone: string;
  readonly deadline: { readonly remainingMillis: number };
}

/** Additional input of `weigh` rules. */
export interface PolicyUpstream {
  readonly id: string;
  readonly zone: string;
  readonly inFlight: number;
  /** Maximum in-flight requests of this router to the upstream. */
  readonly slots: number;
  /** Outstanding requests of other routers, from the last report of the upstream, decayed since then. */
  readonly load: number;
  /** Smoothed service time. */
  readonly serviceMillis: number;
}

/** Limits of one expression; an expression above them is rejected when it is proposed. */
export const EXPRESSION_LIMITS = {
  maxCharacters: 1000,
  maxAstNodes: 200,
  maxDepth: 30,
  maxListElements: 64,
  maxMapEntries: 16,
  maxCallArguments: 4,
} as const;

/** Limits of a whole program. */
export const PROGRAM_LIMITS = {
  maxRules: 64,
  /** Maximum cost of evaluating all expressions once for a request, in number comparisons. */
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

/** Converts a context to CEL values. */
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

/** Converts an upstream to CEL values. */
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
