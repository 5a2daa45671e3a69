/** What is known of a request whose answer the router made itself. */

/**
 * `not-run`: nothing has run and nothing will. `unknown`: it may have run or may still run.
 * `ran`: it ran; the upstream's answer is at hand or was.
 */
export type Outcome = 'not-run' | 'unknown' | 'ran';

/** HTTP headers of the project's own, lower case. Callers' own copies of all but `SERVICE_HEADER` are dropped. */
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
