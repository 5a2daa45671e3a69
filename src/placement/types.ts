/** Interface of placement, which assigns the shards of one service to its servers. */
import type { MonotonicMillis, ShardId, UpstreamId, Zone } from '../model/identifiers.js';
import type { PlacementWeights } from '../model/service.js';

/**
 * `ready`: accepts shards. `cold`: accepts shards, with a reduced capacity until it has warmed up. `draining`: its shards
 * move away. `lost`: accepts none, and a planned move from it can't complete; its shards are placed once they have no owner.
 */
export type ServerState = 'ready' | 'cold' | 'draining' | 'lost';

/** A server of the service. */
export interface PlacementServer {
  readonly id: UpstreamId;
  /** Share of the load that it should carry relative to the others, above 0, e.g. the number of its slots. */
  readonly capacity: number;
  /** Names of the keyspaces whose shards it may own; an empty list allows all of them. */
  readonly mayHold: readonly string[];
  readonly zone: Zone;
  readonly state: ServerState;
}

/** A shard of the service. */
export interface PlacementShard {
  readonly shard: ShardId;
  readonly keyspace: string;
  /** Observed load in any additive unit, e.g. milliseconds of work per second. */
  readonly load: number;
  readonly owner: UpstreamId | null;
  /** Target of a move in progress. For a shard without an owner: the preferred server, which has already warmed it. */
  readonly target: UpstreamId | null;
}

/** Spread of the load over the servers that accept shards, in the unit of the loads. Planned moves count as completed. */
export interface LoadSpread {
  /** Load of the most loaded server. */
  readonly most: number;
  /** Mean load of a server, above 0. */
  readonly mean: number;
  /** Load of the hottest shard. */
  readonly hottest: number;
}

/** Placement settings of a service. */
export interface PlacementSettings {
  readonly weights: PlacementWeights;
  /** Maximum number of balancing moves per minute. Moves off a draining server count too, but are never rejected. */
  readonly movesPerMinute: number;
}

/** A planned change of a shard's owner. */
export interface PlacementMove {
  readonly shard: ShardId;
  /** Current owner; `null` if the shard has none, so that it is granted without a handover. */
  readonly from: UpstreamId | null;
  readonly to: UpstreamId;
  readonly reason: 'unowned' | 'evacuate' | 'balance';
}

/**
 * Plans the moves of one service. Changes are passed in one by one, and the cost of planning is proportional to them.
 * Deterministic: the same calls with the same times return the same moves.
 */
export interface PlacementPlanner {
  configure(settings: PlacementSettings): void;
  /** Adds or replaces a server. */
  setServer(server: PlacementServer): void;
  removeServer(id: UpstreamId): void;
  /** Adds or replaces a shard, and discards a move that was planned for it. */
  setShard(shard: PlacementShard): void;
  setLoad(shard: ShardId, load: number): void;
  /** Sets the minimum load that each shard counts with, in the unit of the loads, so that negligible loads cause no moves. */
  setMinShardLoad(load: number): void;
  removeShard(shard: ShardId): void;
  /** Returns the moves to begin now. Each counts as in progress until `setShard` is called for its shard. */
  plan(now: MonotonicMillis): PlacementMove[];
  /** Returns when `plan` may return moves even if nothing changes. */
  nextDeadline(): MonotonicMillis;
}

/** A planner that also measures the spread of the load. */
export interface MeasuredPlanner extends PlacementPlanner {
  /** Returns `null` if there is no server, or if the total load is at most the minimum load of one shard. */
  spread(): LoadSpread | null;
}
