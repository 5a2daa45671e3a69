/** Assigns shards to servers: the weighted planner and the baselines that it is compared with. */
export { createBoundedLoadPlanner } from './baselines/bounded-load.js';
export { createGreedyPlanner } from './baselines/greedy.js';
export { createRendezvousPlanner } from './baselines/rendezvous.js';
export { LOAD_HALF_LIFE_MILLIS, LoadTracker, type ReportedWork, type ShardWeight } from './load-tracker.js';
export type {
  LoadSpread,
  MeasuredPlanner,
  PlacementMove,
  PlacementPlanner,
  PlacementServer,
  PlacementSettings,
  PlacementShard,
  ServerState,
} from './types.js';
export { ARRIVING_LIMIT, BALANCE_MILLIS, createPlanner } from './weighted-planner.js';
