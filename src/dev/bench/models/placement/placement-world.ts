/**
 * Servers and shards of one service in virtual time, with a placement planner and a model of move times. Load reports of
 * routers are computed from drawn requests with the product's own reporter and tracker.
 */
import type { ShardId, UpstreamId } from '../../../../model/identifiers.js';
import {
  LoadTracker,
  type PlacementMove,
  type PlacementPlanner,
  type PlacementServer,
} from '../../../../placement/index.js';
import { LoadReporter } from '../../../../routing/load-reporter.js';
import { EventQueue } from '../../../virtual/event-queue.js';
import type { RandomSource } from '../../../virtual/random-source.js';
import type { KeyLoads } from './key-loads.js';
import type { Handover, MoveModel } from './move-model.js';

const PLAN_MILLIS = 20;
const SECOND_MILLIS = 1000;
/** Load below which shards count as idle, in milliseconds of work per second, as in control. */
const MIN_LOAD = 1;
const SERVICE_SIGMA = 0.5;

/** Owner and pending move of a shard. */
export interface ShardPlacement {
  readonly shard: ShardId;
  readonly keyspace: string;
  owner: UpstreamId | null;
  /** Server that the shard moves to; `null`: none. */
  target: UpstreamId | null;
  /** Number of the latest move; moves with lower numbers are complete or cancelled. */
  move: number;
}

export interface PlacementWorldParts {
  readonly planner: PlacementPlanner;
  readonly loads: KeyLoads;
  readonly moves: MoveModel;
  readonly handover: Handover;
  readonly random: RandomSource;
  readonly serviceMillis: number;
  readonly routers: number;
  /** Whether identical reads are coalesced; a read that joins a running one adds no work. */
  readonly coalesced: boolean;
}

export class PlacementWorld {
  readonly queue = new EventQueue();
  readonly servers = new Map<UpstreamId, PlacementServer>();
  readonly shards = new Map<ShardId, ShardPlacement>();
  /** Owner changes since counting started. */
  ownerChanges = 0;
  /** Moves that the planner started for balance. */
  balancingMoves = 0;
  /** Sums of the unavailable seconds of all keys, during planned moves and after losses. */
  plannedKeySeconds = 0;
  lostKeySeconds = 0;
  readonly #parts: PlacementWorldParts;
  readonly #tracker = new LoadTracker();
  readonly #reporters: LoadReporter[];
  readonly #keysOfShards: ReadonlyMap<ShardId, number>;

  constructor(parts: PlacementWorldParts) {
    this.#parts = parts;
    this.#keysOfShards = parts.loads.keysOfShards();
    this.#reporters = Array.from({ length: parts.routers }, () => new LoadReporter());
  }

  addShard(shard: ShardId, keyspace: string): void {
    this.shards.set(shard, { shard, keyspace, owner: null, target: null, move: 0 });
  }

  setServer(server: PlacementServer): void {
    this.servers.set(server.id, server);
    this.#parts.planner.setServer(server);
  }

  setState(id: UpstreamId, state: PlacementServer['state']): void {
    this.setServer({ ...(this.servers.get(id) as PlacementServer), state });
  }

  /** Places every shard without counting the changes, then schedules planning and load reports. */
  start(): void {
    for (const placement of this.shards.values()) {
      this.#updatePlanner(placement);
    }
    for (const move of this.#parts.planner.plan(0)) {
      const placement = this.shards.get(move.shard) as ShardPlacement;
      placement.owner = move.to;
      this.#updatePlanner(placement);
    }
    this.queue.after(PLAN_MILLIS, () => this.#plan());
    this.queue.after(SECOND_MILLIS, () => this.#processReports());
  }

  /** Resets the counts. */
  startCounting(): void {
    this.ownerChanges = 0;
    this.balancingMoves = 0;
    this.plannedKeySeconds = 0;
    this.lostKeySeconds = 0;
  }

  /** Removes a server without a drain; its shards become unowned once its lease has ended. */
  lose(id: UpstreamId): void {
    this.setState(id, 'lost');
    const lostAt = this.queue.now;
    for (const placement of this.shards.values()) {
      if (placement.target === id) {
        this.#cancelMove(placement);
      }
    }
    this.queue.after(this.#parts.moves.leaseMillis(), () => {
      for (const placement of this.ownedBy(id)) {
        placement.owner = null;
        placement.move += 1;
        placement.target = null;
        this.lostKeySeconds += this.#keySeconds(placement, this.queue.now - lostAt);
        this.#updatePlanner(placement);
      }
    });
  }

  ownedBy(id: UpstreamId): ShardPlacement[] {
    return [...this.shards.values()].filter(({ owner }) => owner === id);
  }

  #updatePlanner({ shard, keyspace, owner, target }: ShardPlacement): void {
    const load = this.#tracker.weight(shard);
    this.#parts.planner.setShard({ shard, keyspace, load, owner, target });
  }

  #cancelMove(placement: ShardPlacement): void {
    placement.move += 1;
    placement.target = null;
    this.#updatePlanner(placement);
  }

  #plan(): void {
    for (const move of this.#parts.planner.plan(this.queue.now)) {
      this.#startMove(move);
    }
    this.queue.after(PLAN_MILLIS, () => this.#plan());
  }

  #startMove({ shard, from, to, reason }: PlacementMove): void {
    const placement = this.shards.get(shard) as ShardPlacement;
    placement.target = to;
    placement.move += 1;
    this.balancingMoves += Number(reason === 'balance');
    const { move } = placement;
    if (from === null) {
      const grantMillis = this.#parts.moves.grantMillis();
      this.queue.after(grantMillis, () => {
        this.lostKeySeconds += this.#completeMove(placement, move)
          ? this.#keySeconds(placement, grantMillis)
          : 0;
      });
      return;
    }
    const { warmMillis, gapMillis } = this.#parts.moves.plannedMove(this.#parts.handover);
    this.queue.after(warmMillis + gapMillis, () => {
      this.plannedKeySeconds += this.#completeMove(placement, move)
        ? this.#keySeconds(placement, gapMillis)
        : 0;
    });
  }

  /** Completes a move; does nothing and returns `false` if the move was cancelled. */
  #completeMove(placement: ShardPlacement, move: number): boolean {
    if (placement.move !== move || placement.target === null) {
      return false;
    }
    placement.owner = placement.target;
    placement.target = null;
    this.ownerChanges += 1;
    this.#updatePlanner(placement);
    return true;
  }

  #keySeconds({ shard }: ShardPlacement, millis: number): number {
    return ((this.#keysOfShards.get(shard) ?? 0) * millis) / SECOND_MILLIS;
  }

  /** Draws the requests of the last second and passes the routers' reports to the planner. */
  #processReports(): void {
    const { now } = this.queue;
    const { planner } = this.#parts;
    this.#drawRequests();
    for (const reporter of this.#reporters) {
      this.#tracker.report(reporter.takeReport(now)?.shards ?? [], now);
    }
    planner.setMinShardLoad(this.#tracker.weightForLoad(MIN_LOAD, now));
    for (const { shard, load } of this.#tracker.takeChanged()) {
      planner.setLoad(shard, load);
    }
    this.queue.after(SECOND_MILLIS, () => this.#processReports());
  }

  #drawRequests(): void {
    const { loads, random, serviceMillis, coalesced } = this.#parts;
    const joined = coalesced ? joinedShares(loads) : undefined;
    const mean = SECOND_MILLIS / loads.requestsPerSecond;
    for (let at = random.exponential(mean); at < SECOND_MILLIS; at += random.exponential(mean)) {
      const key = loads.draw(random);
      const reporter = this.#reporters[random.below(this.#reporters.length)] as LoadReporter;
      if (joined === undefined || random.fraction() >= (joined[key] ?? 0)) {
        const shard = loads.shardOfKeys[key] as ShardId;
        reporter.add(shard, random.logNormal(serviceMillis, SERVICE_SIGMA));
      }
    }
  }
}

/** Returns, for each key, the share of its reads that join a running one. */
function joinedShares(loads: KeyLoads): number[] {
  const all = loads.keyWork(false);
  return loads.keyWork(true).map((work, key) => 1 - work / Math.max(all[key] ?? 0, Number.MIN_VALUE));
}
