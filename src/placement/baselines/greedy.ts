/**
 * Baseline: greedy least-loaded placement without hysteresis or budget. Once a second, shards move from the most to the least
 * loaded server as long as that lowers the higher of the two loads; then from the next server, since a shard hotter than
 * the mean of all servers keeps its server the most loaded.
 */
import type { MonotonicMillis } from '../../model/identifiers.js';
import type { CandidateQueue } from '../candidate-queue.js';
import { capacityOf, mayHold, type ServerEntry, type ShardEntry, utilisation } from '../placement-state.js';
import { heaviestFirst, StatefulPlanner } from '../stateful-planner.js';
import type { PlacementMove, PlacementPlanner } from '../types.js';

const BALANCE_INTERVAL_MILLIS = 1000;

/** With `topOnly`, shards move only off the most loaded server. */
export function createGreedyPlanner(topOnly = false): PlacementPlanner {
  return new GreedyPlanner(topOnly);
}

class GreedyPlanner extends StatefulPlanner {
  readonly #topOnly: boolean;
  #nextBalanceAt: MonotonicMillis = Number.NEGATIVE_INFINITY;

  constructor(topOnly: boolean) {
    super();
    this.#topOnly = topOnly;
  }

  /** Greedy placement uses neither weights nor budgets. */
  configure(): void {}

  plan(now: MonotonicMillis): PlacementMove[] {
    const unplaced = [...this.state.unplaced.values()].flatMap((entries) => [...entries]);
    const moves = [
      ...this.#moveToLeastLoaded(unplaced, 'unowned'),
      ...this.#moveToLeastLoaded(this.state.misplaced, 'evacuate'),
    ];
    if (now < this.#nextBalanceAt) {
      return moves;
    }
    this.#nextBalanceAt = now + BALANCE_INTERVAL_MILLIS;
    return [...moves, ...this.#balance()];
  }

  nextDeadline(): MonotonicMillis {
    return this.#nextBalanceAt;
  }

  #moveToLeastLoaded(entries: Iterable<ShardEntry>, reason: PlacementMove['reason']): PlacementMove[] {
    const queues = new Map<string, CandidateQueue>();
    return heaviestFirst(entries).flatMap((entry) => {
      const queue = queues.get(entry.keyspace) ?? this.candidates(entry.keyspace);
      queues.set(entry.keyspace, queue);
      const to = queue.leastLoaded();
      return to === undefined ? [] : [this.beginMove(entry, to, reason)];
    });
  }

  #balance(): PlacementMove[] {
    const floor = this.state.floor();
    const eligible = this.state.eligibleServers();
    const moves: PlacementMove[] = [];
    for (;;) {
      const ordered = [...eligible].sort(
        (left, right) => utilisation(right, floor) - utilisation(left, floor) || left.rank - right.rank,
      );
      const to = ordered.at(-1);
      const sources = this.#topOnly ? ordered.slice(0, 1) : ordered;
      const entry = to === undefined ? undefined : firstMovable(sources, to, floor);
      if (to === undefined || entry === undefined) {
        return moves;
      }
      moves.push(this.beginMove(entry, to, 'balance'));
    }
  }
}

function firstMovable(
  sources: readonly ServerEntry[],
  to: ServerEntry,
  floor: number,
): ShardEntry | undefined {
  for (const source of sources) {
    const entry = bestShard(source, to, floor);
    if (entry !== undefined) {
      return entry;
    }
  }
  return undefined;
}

/** Returns the heaviest shard whose move leaves the target below the previous utilisation of the source. */
function bestShard(from: ServerEntry, to: ServerEntry, floor: number): ShardEntry | undefined {
  const before = utilisation(from, floor);
  const spareCapacity = (before - utilisation(to, floor)) * capacityOf(to);
  let best: ShardEntry | undefined;
  for (const entry of from.shards) {
    const fits = entry.target === null && entry.load + floor < spareCapacity && mayHold(to, entry.keyspace);
    const isHeavier = best === undefined || entry.load > best.load;
    best = fits && isHeavier ? entry : best;
  }
  return best;
}
