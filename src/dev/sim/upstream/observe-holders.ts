/** Checks the fences of all peers whenever one of them may have become the holder of a key. */
import { shardOfKey } from '../../../model/key-map.js';
import type { World } from '../world.js';
import type { SimUpstream } from './sim-upstream.js';

/** Checks only the keys that `updated` holds, since a fence accepts more only after it has received a message. */
export function observeHolders(world: World, updated: SimUpstream): void {
  const { definition, keys } = updated.service;
  const granted = new Set(updated.grantedShards());
  if (granted.size === 0) {
    return;
  }
  const peers = world.upstreams.filter((upstream) => upstream.service === updated.service);
  for (const key of keys) {
    const isGranted = [...updated.maps.values()].some((map) => granted.has(shardOfKey(map, key) ?? ''));
    if (isGranted) {
      const holders = peers.map((peer) => peer.holdingOf(key)).filter((holder) => holder !== null);
      if (holders.length > 1) {
        world.recorder.record({
          type: 'holders-observed',
          at: world.time.now,
          key: `${definition.name}/${key}`,
          holders,
        });
      }
      world.recorder.count('ownership looked at');
    }
  }
}
