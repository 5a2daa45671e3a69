/** A planner that recomputes the owners of all shards and moves every shard with another owner. */
import type { MonotonicMillis, ShardId, UpstreamId } from '../../model/identifiers.js';
import type { PlacementMove, PlacementPlanner, PlacementServer, PlacementShard } from '../types.js';

/** Returns the owner of each shard that a server may own. `servers` are those that accept shards, sorted by id. */
export type OwnerRule = (
  servers: readonly PlacementServer[],
  shards: readonly PlacementShard[],
) => ReadonlyMap<ShardId, UpstreamId>;

/** Interval of plans if only loads have changed. */
const LOAD_INTERVAL_MILLIS = 1000;

export class RecomputingPlanner implements PlacementPlanner {
  readonly #ownersOf: OwnerRule;
  readonly #usesLoad: boolean;
  readonly #servers = new Map<UpstreamId, PlacementServer>();
  readonly #shards = new Map<ShardId, PlacementShard>();
  #isChanged = true;
  #nextLoadPlanAt: MonotonicMillis = Number.NEGATIVE_INFINITY;

  constructor(ownersOf: OwnerRule, usesLoad: boolean) {
    this.#ownersOf = ownersOf;
    this.#usesLoad = usesLoad;
  }

  /** Baselines use neither weights nor budgets. */
  configure(): void {}

  setServer(server: PlacementServer): void {
    this.#servers.set(server.id, server);
    this.#isChanged = true;
  }

  removeServer(id: UpstreamId): void {
    this.#servers.delete(id);
    this.#isChanged = true;
  }

  setShard(shard: PlacementShard): void {
    this.#shards.set(shard.shard, shard);
    this.#isChanged = true;
  }

  setLoad(shard: ShardId, load: number): void {
    const existing = this.#shards.get(shard);
    if (existing !== undefined) {
      this.#shards.set(shard, { ...existing, load });
    }
  }

  /** No minimum load is needed, since idle shards are spread by their hashes. */
  setMinShardLoad(): void {}

  removeShard(shard: ShardId): void {
    this.#shards.delete(shard);
    this.#isChanged = true;
  }

  plan(now: MonotonicMillis): PlacementMove[] {
    const isLoadDue = this.#usesLoad && now >= this.#nextLoadPlanAt;
    if (!this.#isChanged && !isLoadDue) {
      return [];
    }
    this.#isChanged = false;
    this.#nextLoadPlanAt = now + LOAD_INTERVAL_MILLIS;
    const servers = [...this.#servers.values()].filter(({ state }) => state === 'ready' || state === 'cold');
    const sorted = servers.sort((left, right) => (left.id < right.id ? -1 : 1));
    const owners = this.#ownersOf(sorted, [...this.#shards.values()]);
    return [...this.#shards.values()].flatMap((shard) => this.#moveOf(shard, owners.get(shard.shard)));
  }

  nextDeadline(): MonotonicMillis {
    return this.#usesLoad ? this.#nextLoadPlanAt : Number.POSITIVE_INFINITY;
  }

  #moveOf(shard: PlacementShard, to: UpstreamId | undefined): PlacementMove[] {
    const { owner } = shard;
    const isUnderWay = owner !== null && shard.target !== null;
    const isOwnerLost = owner !== null && this.#servers.get(owner)?.state === 'lost';
    if (to === undefined || to === owner || isUnderWay || isOwnerLost || this.#isGranted(shard)) {
      return [];
    }
    this.#shards.set(shard.shard, { ...shard, target: to });
    const mustLeave = owner !== null && this.#servers.get(owner)?.state === 'draining';
    const reason = owner === null ? 'unowned' : mustLeave ? 'evacuate' : 'balance';
    return [{ shard: shard.shard, from: owner, to, reason }];
  }

  /** Returns whether a grant without handover is in progress to a server that accepts it. */
  #isGranted({ owner, target }: PlacementShard): boolean {
    const state = this.#servers.get(target ?? '')?.state;
    return owner === null && (state === 'ready' || state === 'cold');
  }
}

/** Returns whether the server's declaration allows it to own the shard. */
export function mayHoldShard(server: PlacementServer, { keyspace }: PlacementShard): boolean {
  return server.mayHold.length === 0 || server.mayHold.includes(keyspace);
}
