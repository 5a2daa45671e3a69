/** Attempts that were sent over a path by which their upstream isn't reached any more. */
import type { Attempt, RequestGroup } from '../request-group.js';

/** Whether an attempt was sent over another path than the one now in use for its upstream. */
export function isOnLeftPath({ via, upstream }: Attempt): boolean {
  return via?.router !== upstream.path.relay?.router;
}

/**
 * Whether a request that may have reached its upstream may be sent again over another path. A key has one owner, so that such a request
 * reaches no second upstream.
 */
export function mayResend({ isRepeatable, shard, sentAttempts, terms }: RequestGroup): boolean {
  return isRepeatable && (shard !== null || sentAttempts + 1 < terms.maxAttempts);
}
