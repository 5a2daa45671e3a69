/**
 * Baseline: greedy least-loaded without hysteresis or budget. Once a second shards move from the most to the least
 * loaded server for as long as that lowers the higher of the two; then from the next one, since a shard that is hotter
 * than the mean of all servers leaves the most loaded server where it is.
 */
import type { MonotonicMillis } from '../../model/identifiers.js';
import type { CandidateQueue } from '../candidate-queue.js';
import { capacityOf, mayHold, type ServerEntry, type ShardEntry, utilisation } from '../placement-state.js';
import { heaviestFirst, StatefulPlanner } from '../stateful-planner.js';
import type { PlacementMove, PlacementPlanner } from '../types.js';

const LOOK_MILLIS = 1000;

/** `topOnly`: looks at the most loaded server alone, and stops once nothing can be moved off it. */
export function createGreedyPlanner(topOnly = false): PlacementPlanner {
  return new GreedyPlanner(topOnly);
}

class GreedyPlanner extends StatefulPlanner {
  readonly #topOnly: boolean;
  #lookAt: MonotonicMillis = Number.NEGATIVE_INFINITY;

  constructor(topOnly: boolean) {
    super();
    this.#topOnly = topOnly;
  }

  /** It knows neither weights nor budgets. */
  configure(): void {}

  plan(now: MonotonicMillis): PlacementMove[] {
    const unplaced = [...this.state.unplaced.values()].flatMap((entries) => [...entries]);
    const moves = [...this.#toLeast(unplaced, 'unowned'), ...this.#toLeast(this.state.misplaced, 'evacuate')];
    if (now < this.#lookAt) {
      return moves;
    }
    this.#lookAt = now + LOOK_MILLIS;
    return [...moves, ...this.#level()];
  }

  nextDeadline(): MonotonicMillis {
    return this.#lookAt;
  }

  #toLeast(entries: Iterable<ShardEntry>, reason: PlacementMove['reason']): PlacementMove[] {
    const queues = new Map<string, CandidateQueue>();
    return heaviestFirst(entries).flatMap((entry) => {
      const queue = queues.get(entry.keyspace) ?? this.candidates(entry.keyspace);
      queues.set(entry.keyspace, queue);
      const to = queue.least();
      return to === undefined ? [] : [this.begin(entry, to, reason)];
    });
  }

  #level(): PlacementMove[] {
    const floor = this.state.floor();
    const takers = this.state.takers();
    const moves: PlacementMove[] = [];
    for (;;) {
      const ordered = [...takers].sort(
        (left, right) => utilisation(right, floor) - utilisation(left, floor) || left.rank - right.rank,
      );
      const to = ordered.at(-1);
      const sources = this.#topOnly ? ordered.slice(0, 1) : ordered;
      const entry = to === undefined ? undefined : firstMovable(sources, to, floor);
      if (to === undefined || entry === undefined) {
        return moves;
      }
      moves.push(this.begin(entry, to, 'balance'));
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

/** The heaviest shard whose move leaves the receiving server below what the giving one had. */
function bestShard(from: ServerEntry, to: ServerEntry, floor: number): ShardEntry | undefined {
  const before = utilisation(from, floor);
  const room = (before - utilisation(to, floor)) * capacityOf(to);
  let best: ShardEntry | undefined;
  for (const entry of from.shards) {
    const fits = entry.target === null && entry.load + floor < room && mayHold(to, entry.keyspace);
    const isHeavier = best === undefined || entry.load > best.load;
    best = fits && isHeavier ? entry : best;
  }
  return best;
}
