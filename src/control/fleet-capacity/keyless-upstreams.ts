/** The registry's upstreams of services without keys, among which routers may choose freely. */
import type { Registry } from '../../registry/types.js';
import type { KeylessUpstream } from './fleet-capacity.js';

/** Returns the upstreams of services without keys that announce their number of slots. */
export function keylessUpstreams(registry: Registry): KeylessUpstream[] {
  return [...registry.upstreams().values()].flatMap(({ definition }): KeylessUpstream[] => {
    const { id, service, zone, announced } = definition;
    const record = registry.services().get(service);
    if (announced === undefined || record === undefined || record.definition.keyed) {
      return [];
    }
    return [{ id, service, zone, slots: announced.slots, isUsable: !registry.isLeaving(definition) }];
  });
}
