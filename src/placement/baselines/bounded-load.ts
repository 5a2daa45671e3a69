/**
 * Baseline: consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, 2018). A shard goes to the first
 * server after it on the ring whose load stays within the bound: the fair share of the load times `1 + EXCESS`.
 */
import type { UpstreamId } from '../../model/identifiers.js';
import type { PlacementPlanner, PlacementServer, PlacementShard } from '../types.js';
import { mayHoldShard, type OwnerRule, RecomputingPlanner } from './recomputing-planner.js';
import { hashText, mixHashes } from './text-hash.js';

/** Load that a server may have in excess of its fair share, as a fraction of that share. */
const EXCESS = 0.25;
const POINTS_PER_SERVER = 64;

interface RingPoint {
  readonly hash: number;
  readonly server: PlacementServer;
}

/** Creates the baseline; it considers changed loads once a second. */
export function createBoundedLoadPlanner(): PlacementPlanner {
  return new RecomputingPlanner(ownersOnRing, true);
}

const ownersOnRing: OwnerRule = (servers, shards) => {
  const ring = ringOf(servers);
  const capacity = servers.reduce((sum, server) => sum + server.capacity, 0);
  const total = shards.reduce((sum, shard) => sum + shard.load, 0);
  const floor = total > 0 ? 0 : 1;
  const bound = ((1 + EXCESS) * (total + floor * shards.length)) / Math.max(capacity, 1e-9);
  const loads = new Map<UpstreamId, number>();
  const owners = new Map<string, string>();
  for (const { shard, hash } of hashedInOrder(shards)) {
    const weight = shard.load + floor;
    const server = firstWithCapacity(ring, hash, shard, (candidate) => {
      return ((loads.get(candidate.id) ?? 0) + weight) / candidate.capacity <= bound;
    });
    const owner = server ?? leastLoaded(servers, shard, loads);
    if (owner !== undefined) {
      loads.set(owner.id, (loads.get(owner.id) ?? 0) + weight);
      owners.set(shard.shard, owner.id);
    }
  }
  return owners;
};

function ringOf(servers: readonly PlacementServer[]): RingPoint[] {
  const points = servers.flatMap((server) => {
    const hash = hashText(server.id);
    return Array.from({ length: POINTS_PER_SERVER }, (_, number) => ({
      hash: mixHashes(hash, number + 1),
      server,
    }));
  });
  return points.sort((left, right) => left.hash - right.hash || (left.server.id < right.server.id ? -1 : 1));
}

/** Shards are assigned in the same order in every plan. */
function hashedInOrder(shards: readonly PlacementShard[]) {
  return shards
    .map((shard) => ({ shard, hash: hashText(shard.shard) }))
    .sort((left, right) => left.hash - right.hash || (left.shard.shard < right.shard.shard ? -1 : 1));
}

function firstWithCapacity(
  ring: readonly RingPoint[],
  hash: number,
  shard: PlacementShard,
  hasCapacity: (server: PlacementServer) => boolean,
): PlacementServer | undefined {
  const start = firstAtOrAfter(ring, hash);
  for (let step = 0; step < ring.length; step += 1) {
    const { server } = ring[(start + step) % ring.length] as RingPoint;
    if (mayHoldShard(server, shard) && hasCapacity(server)) {
      return server;
    }
  }
  return undefined;
}

function firstAtOrAfter(ring: readonly RingPoint[], hash: number): number {
  let low = 0;
  let high = ring.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((ring[middle] as RingPoint).hash < hash) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}

/** Returns the least loaded server that may own the shard; used if the shard would exceed the bound at every server. */
function leastLoaded(
  servers: readonly PlacementServer[],
  shard: PlacementShard,
  loads: ReadonlyMap<UpstreamId, number>,
): PlacementServer | undefined {
  const loadOf = ({ id, capacity }: PlacementServer): number => (loads.get(id) ?? 0) / capacity;
  return servers
    .filter((server) => mayHoldShard(server, shard))
    .reduce<PlacementServer | undefined>(
      (best, server) => (best === undefined || loadOf(server) < loadOf(best) ? server : best),
      undefined,
    );
}
