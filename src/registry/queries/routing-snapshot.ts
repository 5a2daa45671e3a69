/** Query for all routing data. */
import type { RegistryState } from '../registry-state.js';
import type { RoutingSnapshot } from '../types.js';

/**
 * Returns the snapshot at the state's revision. Its lists are the same arrays until routing data changes, so that a snapshot
 * for many routers is built and encoded once.
 */
export function routingSnapshot(state: RegistryState): RoutingSnapshot {
  state.routing ??= {
    services: [...state.services.values()],
    upstreams: [...state.upstreams.values()],
    shards: [...state.shards.records().values()],
    routes: [...state.declared.routes.values()],
    declaration: state.declared.record.version === 0 ? null : state.declared.record,
    ranges: state.ranges.all(),
    suspects: state.suspects.all(),
    evacuations: [...state.evacuations.values()],
  };
  return { revision: state.revision, ...state.routing };
}
