/**
 * Samples which keys can be served. A key counts as available when a server holds its shard under a valid lease, has its
 * state loaded, and at least one serving router would send a request there.
 */
import type { ShardId, UpstreamId } from '../../../model/identifiers.js';
import type { EventQueue } from '../../virtual/event-queue.js';
import type { ModelNetwork } from './model-network.js';
import type { ModelRouter } from './model-router.js';
import type { ModelUpstream } from './model-upstream.js';

const SAMPLE_MILLIS = 5;
const MILLIS_PER_SECOND = 1000;

export interface AvailabilityParts {
  readonly queue: EventQueue;
  readonly routers: readonly ModelRouter[];
  readonly upstreams: ReadonlyMap<UpstreamId, ModelUpstream>;
  readonly network: ModelNetwork;
  /** Number of keys of each watched shard. */
  readonly keysOfShard: ReadonlyMap<ShardId, number>;
}

export class AvailabilityProbe {
  /** Sum of the unavailable seconds of all keys. */
  unavailableKeySeconds = 0;
  /** Number of owner changes of single shards. */
  ownerChanges = 0;
  /** Longest unowned period of any shard. */
  longestGapMillis = 0;
  private readonly owners = new Map<ShardId, UpstreamId>();
  private readonly gapStarts = new Map<ShardId, number>();
  private running = true;

  constructor(private readonly parts: AvailabilityParts) {}

  start(): void {
    this.sample();
  }

  stop(): void {
    this.running = false;
  }

  /** Returns the upstream that can serve a shard now, or `undefined`. */
  ownerOf(shard: ShardId): UpstreamId | undefined {
    const owner = this.routedOwner(shard);
    return owner !== undefined && this.parts.upstreams.get(owner)?.serves(shard) ? owner : undefined;
  }

  /** Returns the share of keys that can be served now. */
  availableShare(shards: Iterable<ShardId> = this.parts.keysOfShard.keys()): number {
    let all = 0;
    let available = 0;
    for (const shard of shards) {
      const keys = this.parts.keysOfShard.get(shard) ?? 0;
      all += keys;
      available += this.ownerOf(shard) === undefined ? 0 : keys;
    }
    return all === 0 ? 1 : available / all;
  }

  /** Returns the shards that a server owns now. */
  shardsOf(upstream: UpstreamId): ShardId[] {
    return [...this.parts.keysOfShard.keys()].filter((shard) => this.ownerOf(shard) === upstream);
  }

  private sample(): void {
    if (!this.running) {
      return;
    }
    for (const [shard, keys] of this.parts.keysOfShard) {
      this.recordSample(shard, keys);
    }
    this.parts.queue.after(SAMPLE_MILLIS, () => this.sample());
  }

  private recordSample(shard: ShardId, keys: number): void {
    const { now } = this.parts.queue;
    const owner = this.ownerOf(shard);
    if (owner === undefined) {
      this.unavailableKeySeconds += (keys * SAMPLE_MILLIS) / MILLIS_PER_SECOND;
      const gapStart = this.gapStarts.get(shard) ?? now;
      this.gapStarts.set(shard, gapStart);
      this.longestGapMillis = Math.max(this.longestGapMillis, now - gapStart + SAMPLE_MILLIS);
      return;
    }
    this.gapStarts.delete(shard);
    const previous = this.owners.get(shard);
    if (previous !== undefined && previous !== owner) {
      this.ownerChanges += 1;
    }
    this.owners.set(shard, owner);
  }

  private routedOwner(shard: ShardId): UpstreamId | undefined {
    for (const router of this.parts.routers) {
      const record = router.serving ? router.view.shard(shard) : undefined;
      const owner = this.parts.upstreams.get(record?.owner ?? '');
      const isReachable =
        owner !== undefined && !this.parts.network.isCut(router.zone, owner.definition.zone);
      if (isReachable && owner.epochOf(shard) === record?.epoch) {
        return owner.definition.id;
      }
    }
    return undefined;
  }
}
