/**
 * Computes the utilisation that all servers would have if every shard except the hottest of each server could be divided
 * freely. A server whose hottest shard alone exceeds the level carries that shard, and the other servers share the rest
 * of the load.
 */
import { capacityOf, type ServerEntry } from './placement-state.js';

/** A server with the load of its hottest shard, including the floor. */
export interface ServerHeat {
  readonly entry: ServerEntry;
  readonly hottest: number;
}

/** Finds the hottest shard of a server with one pass over its shards. */
export function heatOf(entry: ServerEntry, floor: number): ServerHeat {
  let hottest = 0;
  for (const shard of entry.shards) {
    hottest = Math.max(hottest, shard.load);
  }
  return { entry, hottest: entry.shards.size === 0 ? 0 : hottest + floor };
}

/** Iterates over the servers in descending order of their hottest shard, and excludes each that is above the level of the remaining ones. */
export function fairLevel(heats: readonly ServerHeat[], floor: number): number {
  let load = 0;
  let capacity = 0;
  for (const { entry } of heats) {
    load += entry.load + floor * entry.shards.size;
    capacity += capacityOf(entry);
  }
  const hottestFirst = [...heats].sort(
    (left, right) => right.hottest / capacityOf(right.entry) - left.hottest / capacityOf(left.entry),
  );
  for (const { entry, hottest } of hottestFirst) {
    const own = capacityOf(entry);
    if (capacity <= own || hottest / own <= load / capacity) {
      break;
    }
    load -= hottest;
    capacity -= own;
  }
  return capacity === 0 ? 0 : load / capacity;
}
