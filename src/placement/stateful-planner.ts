/** Base class of planners that keep a `PlacementState` and update it with each move. */
import type { MonotonicMillis, ShardId, UpstreamId } from '../model/identifiers.js';
import { CandidateQueue } from './candidate-queue.js';
import { mayHold, PlacementState, type ServerEntry, type ShardEntry } from './placement-state.js';
import type {
  PlacementMove,
  PlacementPlanner,
  PlacementServer,
  PlacementSettings,
  PlacementShard,
} from './types.js';

/** Maintains the state; subclasses decide which moves to begin. */
export abstract class StatefulPlanner implements PlacementPlanner {
  protected readonly state = new PlacementState();

  abstract configure(settings: PlacementSettings): void;
  abstract plan(now: MonotonicMillis): PlacementMove[];
  abstract nextDeadline(): MonotonicMillis;

  setServer(server: PlacementServer): void {
    this.state.setServer(server);
  }

  removeServer(id: UpstreamId): void {
    this.state.removeServer(id);
  }

  setShard(shard: PlacementShard): void {
    this.state.setShard(shard);
  }

  setLoad(shard: ShardId, load: number): void {
    this.state.setLoad(shard, load);
  }

  setMinShardLoad(load: number): void {
    this.state.minShardLoad = load;
  }

  removeShard(shard: ShardId): void {
    this.state.removeShard(shard);
  }

  /** Returns the servers that accept shards of a keyspace, the least loaded first. */
  protected candidates(keyspace: string): CandidateQueue {
    const eligible = this.state.eligibleServers().filter((server) => mayHold(server, keyspace));
    return new CandidateQueue(eligible, this.state.floor());
  }

  /** Records a move in the state and returns it. */
  protected beginMove(entry: ShardEntry, to: ServerEntry, reason: PlacementMove['reason']): PlacementMove {
    const move = { shard: entry.id, from: entry.owner, to: to.server.id, reason };
    this.state.beginMove(entry, to);
    return move;
  }
}

/** Sorts shards by descending load; shards of equal load by id. */
export function heaviestFirst(entries: Iterable<ShardEntry>): ShardEntry[] {
  return [...entries].sort((left, right) => right.load - left.load || (left.id < right.id ? -1 : 1));
}
