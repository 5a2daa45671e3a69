/** Which upstream gets which shard: fewest shards first. */
import type { ShardId, UpstreamId } from '../model/identifiers.js';
import type { ShardRecord, UpstreamRecord } from '../registry/types.js';
import { compareText, mayHold, type ServiceShards, shardCounts } from './service-shards.js';

/** A shard and the upstream that is to own it. */
export interface ShardAssignment {
  readonly record: ShardRecord;
  readonly to: UpstreamRecord;
}

/** Decides on placement; `ready` are upstreams that can take a grant at once. */
export interface ShardAssigner {
  /** Owners for shards without one. */
  assign(
    shards: ServiceShards,
    unowned: readonly ShardRecord[],
    ready: readonly UpstreamRecord[],
  ): ShardAssignment[];
  /** Shards that must leave their owners: it is leaving, or may hold them no longer. */
  evacuate(shards: ServiceShards, ready: readonly UpstreamRecord[]): ShardAssignment[];
  /** The next move that evens out the load, if one is worth its cost. */
  rebalance(shards: ServiceShards, ready: readonly UpstreamRecord[]): ShardAssignment | undefined;
}

/** Fewer shards of difference than this are left as they are: one move would only swap the two. */
const LEAST_DIFFERENCE = 2;

export class LeastCountAssigner implements ShardAssigner {
  assign(
    shards: ServiceShards,
    unowned: readonly ShardRecord[],
    ready: readonly UpstreamRecord[],
  ): ShardAssignment[] {
    const counts = shardCounts(shards);
    return unowned.flatMap((record) => {
      const wanted = ready.find(
        (upstream) => upstream.definition.id === record.movingTo && mayHold(upstream, record.shard),
      );
      return toAssignment(record, wanted ?? leastLoaded(counts, ready, record.shard), counts);
    });
  }

  evacuate(shards: ServiceShards, ready: readonly UpstreamRecord[]): ShardAssignment[] {
    const counts = shardCounts(shards);
    const owners = new Map(shards.upstreams.map((upstream) => [upstream.definition.id, upstream]));
    return shards.current.flatMap((record) => {
      const owner = owners.get(record.owner ?? '');
      const mustLeave = owner !== undefined && record.movingTo === null && !mayHold(owner, record.shard);
      return mustLeave ? toAssignment(record, leastLoaded(counts, ready, record.shard), counts) : [];
    });
  }

  rebalance(shards: ServiceShards, ready: readonly UpstreamRecord[]): ShardAssignment | undefined {
    const counts = shardCounts(shards);
    const countOf = (upstream: UpstreamId | null): number => counts.get(upstream ?? '') ?? 0;
    const byOwner = shards.current
      .filter(({ owner, movingTo }) => owner !== null && movingTo === null)
      .sort(
        (left, right) => countOf(right.owner) - countOf(left.owner) || compareText(left.shard, right.shard),
      );
    for (const record of byOwner) {
      const to = leastLoaded(counts, ready, record.shard);
      if (to !== undefined && countOf(record.owner) - countOf(to.definition.id) >= LEAST_DIFFERENCE) {
        return { record, to };
      }
    }
    return undefined;
  }
}

function leastLoaded(
  counts: ReadonlyMap<UpstreamId, number>,
  ready: readonly UpstreamRecord[],
  shard: ShardId,
): UpstreamRecord | undefined {
  const countOf = ({ definition }: UpstreamRecord): number => counts.get(definition.id) ?? 0;
  return ready
    .filter((upstream) => mayHold(upstream, shard))
    .reduce<UpstreamRecord | undefined>(
      (best, upstream) => (best === undefined || countOf(upstream) < countOf(best) ? upstream : best),
      undefined,
    );
}

function toAssignment(
  record: ShardRecord,
  to: UpstreamRecord | undefined,
  counts: Map<UpstreamId, number>,
): ShardAssignment[] {
  if (to === undefined) {
    return [];
  }
  counts.set(to.definition.id, (counts.get(to.definition.id) ?? 0) + 1);
  return [{ record, to }];
}
