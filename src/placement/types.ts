/** Interface of placement: which server should own which shard of one service. */
import type { MonotonicMillis, ShardId, UpstreamId, Zone } from '../model/identifiers.js';
import type { PlacementWeights } from '../model/service.js';

/**
 * `ready`: may take shards. `cold`: may take them, but counts for less until it has warmed up. `draining`: its shards
 * move away. `lost`: takes nothing, and a planned move from it can't end; its shards are placed once they have no owner.
 */
export type ServerState = 'ready' | 'cold' | 'draining' | 'lost';

/** A server of the service. */
export interface PlacementServer {
  readonly id: UpstreamId;
  /** Share of the load that it should carry relative to the others, above 0; the number of its slots will do. */
  readonly capacity: number;
  /** Names of the keyspaces whose shards it may own; empty: all. */
  readonly mayHold: readonly string[];
  readonly zone: Zone;
  readonly state: ServerState;
}

/** A shard of the service. */
export interface PlacementShard {
  readonly shard: ShardId;
  readonly keyspace: string;
  /** Observed load in any unit that adds up, e.g. milliseconds of work a second. */
  readonly load: number;
  readonly owner: UpstreamId | null;
  /** Server that a planned move is under way to. Without an owner: a server that is warm for it and preferred. */
  readonly target: UpstreamId | null;
}

/** How the load is spread over the servers that may take shards, in the unit of the loads. Planned moves count as made. */
export interface LoadSpread {
  /** Load of the most loaded server. */
  readonly most: number;
  /** Mean load of a server, above 0. */
  readonly mean: number;
  /** Load of the hottest shard. */
  readonly hottest: number;
}

/** What the service's operators ask of placement. */
export interface PlacementSettings {
  readonly weights: PlacementWeights;
  /** Moves a minute for the sake of balance. Moves off a draining server count, but are never refused. */
  readonly movesPerMinute: number;
}

/** A shard and the server which is to own it. */
export interface PlacementMove {
  readonly shard: ShardId;
  /** Owner now; `null`: the shard has none, so it is granted without a handover. */
  readonly from: UpstreamId | null;
  readonly to: UpstreamId;
  readonly reason: 'unowned' | 'evacuate' | 'balance';
}

/**
 * Decides for one service. It is told of changes and does work in proportion to them. Deterministic: the same calls
 * with the same times give the same moves.
 */
export interface PlacementPlanner {
  configure(settings: PlacementSettings): void;
  /** Adds a server or replaces what is known of it. */
  setServer(server: PlacementServer): void;
  removeServer(id: UpstreamId): void;
  /** Adds a shard or replaces what is known of it; a move that was planned for it is forgotten. */
  setShard(shard: PlacementShard): void;
  setLoad(shard: ShardId, load: number): void;
  /** What every shard counts for at least, in the unit of the loads, so that next to no load moves nothing. */
  setLeastLoad(load: number): void;
  removeShard(shard: ShardId): void;
  /** Moves to begin now. Each counts as under way until `setShard` says how it stands. */
  plan(now: MonotonicMillis): PlacementMove[];
  /** When `plan` may have something to do though nothing changed. */
  nextDeadline(): MonotonicMillis;
}

/** A planner that also tells how the load is spread. */
export interface MeasuredPlanner extends PlacementPlanner {
  /** `null`: no server, or less load than one shard counts for at least. */
  spread(): LoadSpread | null;
}
