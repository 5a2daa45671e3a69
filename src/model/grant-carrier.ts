/** How upstreams that announce themselves are told which ranges of keys they hold. */

export const GRANT_CARRIERS = {
  /** Each range is granted and released by a call to the upstream. */
  request: 'request',
  /** The answer to each of its heartbeats names all that it holds. */
  heartbeat: 'heartbeat',
} as const;

export type GrantCarrier = (typeof GRANT_CARRIERS)[keyof typeof GRANT_CARRIERS];

/** The carrier where a declaration names none. */
export const DEFAULT_GRANT_CARRIER: GrantCarrier = GRANT_CARRIERS.request;
