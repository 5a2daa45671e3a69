/** How grants of key ranges reach upstreams that announce themselves. */

export const GRANT_CARRIERS = {
  /** Each range is granted and released by a request to the upstream. */
  request: 'request',
  /** The response to each heartbeat lists all ranges that the upstream holds. */
  heartbeat: 'heartbeat',
} as const;

export type GrantCarrier = (typeof GRANT_CARRIERS)[keyof typeof GRANT_CARRIERS];

/** Used for declarations without a carrier. */
export const DEFAULT_GRANT_CARRIER: GrantCarrier = GRANT_CARRIERS.request;
