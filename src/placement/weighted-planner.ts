/**
 * The planner used by the control nodes. Shards without an owner go to the least loaded servers, the heaviest shards first.
 * Shards of a draining server move in batches. Load is balanced once a second, within the service's budget and with a
 * tolerance derived from its weights.
 */
import type { MonotonicMillis } from '../model/identifiers.js';
import { balance } from './balancer.js';
import type { CandidateQueue } from './candidate-queue.js';
import { type Tolerance, toleranceOf } from './hysteresis.js';
import { MoveBudget } from './move-budget.js';
import { mayHold, mayReceiveShards, type ServerEntry, type ShardEntry } from './placement-state.js';
import { heaviestFirst, StatefulPlanner } from './stateful-planner.js';
import type { LoadSpread, MeasuredPlanner, PlacementMove, PlacementSettings } from './types.js';

/** Interval of balancing. */
export const BALANCE_MILLIS = 1000;
/** Maximum number of shards that a server warms concurrently for planned moves off draining servers. */
export const ARRIVING_LIMIT = 32;

/** Creates the planner that weighs unavailability, imbalance and churn. Balancing doesn't begin before `balanceFrom`. */
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
    const isBalancing = this.#tolerance !== undefined && this.#budget.movesPerMinute >= 1;
    return isBalancing && this.state.shards.size > 0 ? this.#balanceAt : Number.POSITIVE_INFINITY;
  }

  spread(): LoadSpread | null {
    return this.state.spread();
  }

  #placeUnowned(): PlacementMove[] {
    const moves: PlacementMove[] = [];
    for (const [keyspace, unplaced] of this.state.unplaced) {
      if (unplaced.size > 0) {
        this.#placeShards(heaviestFirst(unplaced), keyspace, moves);
      }
    }
    return moves;
  }

  #placeShards(entries: readonly ShardEntry[], keyspace: string, moves: PlacementMove[]): void {
    const queue = this.candidates(keyspace);
    for (const entry of entries) {
      const to = this.#warmedServer(entry) ?? queue.leastLoaded();
      if (to !== undefined) {
        moves.push(this.beginMove(entry, to, 'unowned'));
      }
    }
  }

  /** Returns the server that has warmed the shard, if it still accepts the shard. */
  #warmedServer({ target, keyspace }: ShardEntry): ServerEntry | undefined {
    const server = this.state.servers.get(target ?? '');
    return server !== undefined && mayReceiveShards(server) && mayHold(server, keyspace) ? server : undefined;
  }

  #evacuate(now: MonotonicMillis): PlacementMove[] {
    const moves: PlacementMove[] = [];
    const queues = new Map<string, CandidateQueue>();
    for (const entry of heaviestFirst(this.state.misplaced)) {
      const queue = queues.get(entry.keyspace) ?? this.candidates(entry.keyspace);
      queues.set(entry.keyspace, queue);
      const to = leastLoadedBelowLimit(queue);
      if (to !== undefined) {
        moves.push(this.beginMove(entry, to, 'evacuate'));
        this.#budget.recordMove(now);
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
      this.#budget.recordMove(now);
      return { shard: entry.id, from: entry.owner, to: to.server.id, reason: 'balance' };
    });
  }
}

/** Returns the least loaded server that can warm another shard. */
function leastLoadedBelowLimit(queue: CandidateQueue): ServerEntry | undefined {
  let least = queue.leastLoaded();
  while (least !== undefined && least.arriving >= ARRIVING_LIMIT) {
    queue.removeLeastLoaded();
    least = queue.leastLoaded();
  }
  return least;
}
