/** What a router missed. */
import type { Revision } from '../../model/identifiers.js';
import type { RegistryState } from '../registry-state.js';
import type { RoutingDelta } from '../types.js';

/**
 * Changes after `from`, the last one of each thing only. `undefined` if some were dropped, or if `from` is a
 * revision that this replica hasn't reached.
 */
export function routingDelta(state: RegistryState, from: Revision): RoutingDelta | undefined {
  if (from > state.revision) {
    return undefined;
  }
  const changes = state.recent.changesAfter(from);
  return changes === undefined ? undefined : { from, to: state.revision, changes };
}
