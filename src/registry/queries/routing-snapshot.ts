/** Everything that a router needs, whole. */
import type { RegistryState } from '../registry-state.js';
import type { RoutingSnapshot } from '../types.js';

export function routingSnapshot(state: RegistryState): RoutingSnapshot {
  return {
    revision: state.revision,
    services: [...state.services.values()],
    upstreams: [...state.upstreams.values()],
    shards: [...state.shards.records().values()],
  };
}
