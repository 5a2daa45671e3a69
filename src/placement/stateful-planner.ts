/** What planners share that keep a `PlacementState` and change it move by move. */
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

/** Keeps the state; which moves to begin is left to the planner. */
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

  setLeastLoad(load: number): void {
    this.state.leastLoad = load;
  }

  removeShard(shard: ShardId): void {
    this.state.removeShard(shard);
  }

  /** Servers that may take shards of a keyspace, the least loaded first. */
  protected candidates(keyspace: string): CandidateQueue {
    const takers = this.state.takers().filter((server) => mayHold(server, keyspace));
    return new CandidateQueue(takers, this.state.floor());
  }

  /** Counts a move as begun. */
  protected begin(entry: ShardEntry, to: ServerEntry, reason: PlacementMove['reason']): PlacementMove {
    const move = { shard: entry.id, from: entry.owner, to: to.server.id, reason };
    this.state.begin(entry, to);
    return move;
  }
}

/** Sorted by load, shards of equal load by id. */
export function heaviestFirst(entries: Iterable<ShardEntry>): ShardEntry[] {
  return [...entries].sort((left, right) => right.load - left.load || (left.id < right.id ? -1 : 1));
}
