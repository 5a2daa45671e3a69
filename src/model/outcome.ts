/** Outcome of a request to which the router itself generates the response. */

/**
 * `not-run`: the request has not run and will not. `unknown`: it may have run or may still run.
 * `ran`: it ran, and the upstream's response is or was available.
 */
export type Outcome = 'not-run' | 'unknown' | 'ran';

/** Project-specific HTTP headers, lower case. Routers drop all but `service` from callers' requests. */
export const HEADERS = {
  outcome: 'ternmount-outcome',
  reason: 'ternmount-reason',
  service: 'ternmount-service',
  key: 'ternmount-key',
  requestId: 'ternmount-request-id',
  shard: 'ternmount-shard',
  epoch: 'ternmount-epoch',
  incarnation: 'ternmount-incarnation',
  deadlineMillis: 'ternmount-deadline-ms',
  load: 'ternmount-load',
  sessionProof: 'ternmount-session-proof',
  idempotencyKey: 'idempotency-key',
  idempotencyIssuedAt: 'idempotency-issued-at',
} as const;
