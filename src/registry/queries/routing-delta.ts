/** Query for the changes that a router missed. */
import type { Revision } from '../../model/identifiers.js';
import type { RegistryState } from '../registry-state.js';
import type { RoutingDelta } from '../types.js';

/**
 * Returns the latest change after `from` of each object. `undefined` if some changes were dropped, or if this replica
 * hasn't reached the revision `from`.
 */
export function routingDelta(state: RegistryState, from: Revision): RoutingDelta | undefined {
  if (from > state.revision) {
    return undefined;
  }
  const changes = state.recent.changesAfter(from);
  return changes === undefined ? undefined : { from, to: state.revision, changes };
}
