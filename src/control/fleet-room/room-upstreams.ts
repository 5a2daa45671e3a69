/** The upstreams of which routers may choose any, as the registry has them. */
import type { Registry } from '../../registry/types.js';
import type { RoomUpstream } from './fleet-room.js';

/** Those that say how many slots they have, of services without keys. */
export function roomUpstreams(registry: Registry): RoomUpstream[] {
  return [...registry.upstreams().values()].flatMap(({ definition }): RoomUpstream[] => {
    const { id, service, zone, announced } = definition;
    const record = registry.services().get(service);
    if (announced === undefined || record === undefined || record.definition.keyed) {
      return [];
    }
    return [{ id, service, zone, slots: announced.slots, isUsable: !registry.isLeaving(definition) }];
  });
}
