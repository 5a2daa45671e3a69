/** Everything that a router needs, whole. */
import type { RegistryState } from '../registry-state.js';
import type { RoutingSnapshot } from '../types.js';

/**
 * The snapshot at the state's revision. While nothing that routers see changes, its lists are the same arrays, so that
 * many routers' snapshots are made and encoded once.
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
