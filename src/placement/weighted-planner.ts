/**
 * The planner that control uses. Shards without owner go to the least loaded servers, the heaviest shards first. Shards
 * of a draining server move in batches. Load is evened out once a second, with a tolerance that follows from the
 * service's weights and within its budget.
 */
import type { MonotonicMillis } from '../model/identifiers.js';
import { balance } from './balancer.js';
import type { CandidateQueue } from './candidate-queue.js';
import { type Tolerance, toleranceOf } from './hysteresis.js';
import { MoveBudget } from './move-budget.js';
import { mayHold, type ServerEntry, type ShardEntry, takesShards } from './placement-state.js';
import { heaviestFirst, StatefulPlanner } from './stateful-planner.js';
import type { LoadSpread, MeasuredPlanner, PlacementMove, PlacementSettings } from './types.js';

/** Time between two looks at the balance. */
export const BALANCE_MILLIS = 1000;
/** Shards that a server warms at once for planned moves off draining servers. */
export const ARRIVING_LIMIT = 32;

/** Makes the planner that weighs unavailability, imbalance and churn. Nothing is balanced before `balanceFrom`. */
export function createPlanner(
  settings: PlacementSettings,
  balanceFrom: MonotonicMillis = Number.NEGATIVE_INFINITY,
): MeasuredPlanner {
  return new WeightedPlanner(settings, balanceFrom);
}

class WeightedPlanner extends StatefulPlanner implements MeasuredPlanner {
  readonly #budget = new MoveBudget();
  #tolerance: Tolerance | undefined;
  #balanceAt: MonotonicMillis;

  constructor(settings: PlacementSettings, balanceFrom: MonotonicMillis) {
    super();
    this.#balanceAt = balanceFrom;
    this.configure(settings);
  }

  configure(settings: PlacementSettings): void {
    this.#budget.movesPerMinute = settings.movesPerMinute;
    this.#tolerance = toleranceOf(settings.weights);
  }

  plan(now: MonotonicMillis): PlacementMove[] {
    return [...this.#placeUnowned(), ...this.#evacuate(now), ...this.#balance(now)];
  }

  nextDeadline(): MonotonicMillis {
    const mayBalance = this.#tolerance !== undefined && this.#budget.movesPerMinute >= 1;
    return mayBalance && this.state.shards.size > 0 ? this.#balanceAt : Number.POSITIVE_INFINITY;
  }

  spread(): LoadSpread | null {
    return this.state.spread();
  }

  #placeUnowned(): PlacementMove[] {
    const moves: PlacementMove[] = [];
    for (const [keyspace, unplaced] of this.state.unplaced) {
      if (unplaced.size > 0) {
        this.#placeAll(heaviestFirst(unplaced), keyspace, moves);
      }
    }
    return moves;
  }

  #placeAll(entries: readonly ShardEntry[], keyspace: string, moves: PlacementMove[]): void {
    const queue = this.candidates(keyspace);
    for (const entry of entries) {
      const to = this.#warmServer(entry) ?? queue.least();
      if (to !== undefined) {
        moves.push(this.begin(entry, to, 'unowned'));
      }
    }
  }

  /** A server that has warmed for this shard and may still take it. */
  #warmServer({ target, keyspace }: ShardEntry): ServerEntry | undefined {
    const server = this.state.servers.get(target ?? '');
    return server !== undefined && takesShards(server) && mayHold(server, keyspace) ? server : undefined;
  }

  #evacuate(now: MonotonicMillis): PlacementMove[] {
    const moves: PlacementMove[] = [];
    const queues = new Map<string, CandidateQueue>();
    for (const entry of heaviestFirst(this.state.misplaced)) {
      const queue = queues.get(entry.keyspace) ?? this.candidates(entry.keyspace);
      queues.set(entry.keyspace, queue);
      const to = leastWithRoom(queue);
      if (to !== undefined) {
        moves.push(this.begin(entry, to, 'evacuate'));
        this.#budget.take(now);
      }
    }
    return moves;
  }

  #balance(now: MonotonicMillis): PlacementMove[] {
    if (now < this.#balanceAt || this.#tolerance === undefined) {
      return [];
    }
    this.#balanceAt = now + BALANCE_MILLIS;
    const limit = this.#budget.available(now);
    if (limit === 0) {
      return [];
    }
    const moves = balance(this.state, this.#tolerance, limit, now);
    return moves.map(({ entry, to }) => {
      this.#budget.take(now);
      return { shard: entry.id, from: entry.owner, to: to.server.id, reason: 'balance' };
    });
  }
}

/** The least loaded server that doesn't warm too many shards already. */
function leastWithRoom(queue: CandidateQueue): ServerEntry | undefined {
  let least = queue.least();
  while (least !== undefined && least.arriving >= ARRIVING_LIMIT) {
    queue.removeLeast();
    least = queue.least();
  }
  return least;
}
