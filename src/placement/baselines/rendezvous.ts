/** Baseline: rendezvous hashing. Each shard goes to the server with the highest hash of the pair. */
import type { PlacementPlanner, PlacementServer, PlacementShard } from '../types.js';
import { mayHoldShard, type OwnerRule, RecomputingPlanner } from './recomputing-planner.js';
import { hashText, mixHashes } from './text-hash.js';

interface HashedServer {
  readonly server: PlacementServer;
  readonly hash: number;
}

/** Creates the baseline; it doesn't use loads. */
export function createRendezvousPlanner(): PlacementPlanner {
  return new RecomputingPlanner(ownersByHash, false);
}

const ownersByHash: OwnerRule = (servers, shards) => {
  const hashed = servers.map((server) => ({ server, hash: hashText(server.id) }));
  const owners = new Map<string, string>();
  for (const shard of shards) {
    const owner = highest(hashed, shard);
    if (owner !== undefined) {
      owners.set(shard.shard, owner.id);
    }
  }
  return owners;
};

function highest(servers: readonly HashedServer[], shard: PlacementShard): PlacementServer | undefined {
  const shardHash = hashText(shard.shard);
  let best: PlacementServer | undefined;
  let bestHash = -1;
  for (const { server, hash } of servers) {
    const mixed = mixHashes(shardHash, hash);
    if (mixed > bestHash && mayHoldShard(server, shard)) {
      best = server;
      bestHash = mixed;
    }
  }
  return best;
}
