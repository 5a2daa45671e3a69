/** Servers and shards for tests of placement, and a model that executes moves. */
import {
  createBoundedLoadPlanner,
  createGreedyPlanner,
  createPlanner,
  createRendezvousPlanner,
  type PlacementMove,
  type PlacementPlanner,
  type PlacementServer,
  type PlacementSettings,
  type PlacementShard,
} from '../../src/placement/index.js';

export const BALANCED: PlacementSettings = {
  weights: { unavailability: 2, imbalance: 10, churn: 3 },
  movesPerMinute: 60,
};

export const PLANNERS: readonly { readonly name: string; readonly create: () => PlacementPlanner }[] = [
  { name: 'weighted', create: () => createPlanner(BALANCED) },
  { name: 'rendezvous', create: createRendezvousPlanner },
  { name: 'bounded-load', create: createBoundedLoadPlanner },
  { name: 'greedy', create: () => createGreedyPlanner() },
];

export function server(id: string, change: Partial<PlacementServer> = {}): PlacementServer {
  return { id, capacity: 1, mayHold: [], zone: 'a', state: 'ready', ...change };
}

export function shard(id: string, change: Partial<PlacementShard> = {}): PlacementShard {
  return { shard: id, keyspace: 'all', load: 0, owner: null, target: null, ...change };
}

/** A planner with the servers and shards of its service; each move is executed immediately. */
export class PlacedService {
  readonly servers = new Map<string, PlacementServer>();
  readonly shards = new Map<string, PlacementShard>();
  readonly moves: { readonly at: number; readonly move: PlacementMove }[] = [];

  constructor(readonly planner: PlacementPlanner) {}

  setServer(next: PlacementServer): void {
    this.servers.set(next.id, next);
    this.planner.setServer(next);
  }

  /** Ends the lease of a server, which leaves its shards without an owner. */
  lose(id: string): void {
    this.setServer({ ...(this.servers.get(id) as PlacementServer), state: 'lost' });
    for (const existing of this.shards.values()) {
      if (existing.owner === id) {
        this.setShard({ ...existing, owner: null });
      }
    }
  }

  setShard(next: PlacementShard): void {
    this.shards.set(next.shard, next);
    this.planner.setShard(next);
  }

  setLoad(id: string, load: number): void {
    this.shards.set(id, { ...(this.shards.get(id) as PlacementShard), load });
    this.planner.setLoad(id, load);
  }

  /** Plans once and executes the moves. */
  step(now: number): PlacementMove[] {
    const moves = this.planner.plan(now);
    for (const move of moves) {
      this.moves.push({ at: now, move });
      const existing = this.shards.get(move.shard) as PlacementShard;
      this.setShard({ ...existing, owner: move.to, target: null });
    }
    return moves;
  }

  /** Plans once a second from `start` on. */
  run(start: number, seconds: number): PlacementMove[] {
    return Array.from({ length: seconds }, (_, second) => this.step(start + second * 1000)).flat();
  }

  loadOf(id: string): number {
    return [...this.shards.values()]
      .filter(({ owner }) => owner === id)
      .reduce((sum, { load }) => sum + load, 0);
  }

  ownedBy(id: string): string[] {
    return [...this.shards.values()].filter(({ owner }) => owner === id).map((existing) => existing.shard);
  }
}

/** Returns a service with servers `s0`, `s1`, ... and shards `k0`, `k1`, ..., all placed. */
export function placedService(
  planner: PlacementPlanner,
  serverCount: number,
  loads: readonly number[],
): PlacedService {
  const service = new PlacedService(planner);
  for (let number = 0; number < serverCount; number += 1) {
    service.setServer(server(`s${number}`));
  }
  loads.forEach((load, number) => {
    service.setShard(shard(`k${number}`, { load }));
  });
  service.step(0);
  return service;
}
