/**
 * The utilisation that all servers would have if shards could be cut at will, except that the hottest shard of each
 * server can't be cut: a server whose hottest shard alone is above the level carries that one and the others share the
 * rest.
 */
import { capacityOf, type ServerEntry } from './placement-state.js';

/** A server with the load of the hottest of its shards, floors included. */
export interface ServerHeat {
  readonly entry: ServerEntry;
  readonly hottest: number;
}

/** Looks through the shards of a server for the hottest. */
export function heatOf(entry: ServerEntry, floor: number): ServerHeat {
  let hottest = 0;
  for (const shard of entry.shards) {
    hottest = Math.max(hottest, shard.load);
  }
  return { entry, hottest: entry.shards.size === 0 ? 0 : hottest + floor };
}

/** Runs through the servers from the hottest shard down; each one above the level of the rest leaves the sharing. */
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
