/** Asks every fence at the moments at which one of them may have begun to hold a key. */
import { shardOfKey } from '../../../model/key-map.js';
import type { World } from '../world.js';
import type { SimUpstream } from './sim-upstream.js';

/** A fence accepts more only when it was told something, so it is enough to look at what `told` holds. */
export function observeHolders(world: World, told: SimUpstream): void {
  const { definition, keys } = told.service;
  const granted = new Set(told.grantedShards());
  if (granted.size === 0) {
    return;
  }
  const peers = world.upstreams.filter((upstream) => upstream.service === told.service);
  for (const key of keys) {
    const isTold = [...told.maps.values()].some((map) => granted.has(shardOfKey(map, key) ?? ''));
    if (isTold) {
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
