/** Estimates how long a request group has to wait from the measured drain rate of its queue. */

import type { RequestGroup } from '../request-group.js';
import type { RouterContext } from '../router-context.js';
import type { ServiceState } from '../service-state.js';
import type { ShardQueue } from './shard-queues.js';

/** A position in the dispatch order of a queue. */
interface QueuePosition {
  readonly shard: string | null;
  readonly rank: number;
  /** Number of groups of its rank and of more important ranks up to and including this one. */
  readonly place: number;
}

/** Minimum interval between two dispatches. */
const MIN_INTERVAL_MILLIS = 0.1;

export class WaitEstimate {
  constructor(private readonly context: RouterContext) {}

  /** Returns milliseconds until a group that joins its queue now is dispatched; 0 if there is no estimate. */
  untilDispatch(group: RequestGroup): number {
    const shardQueue = group.service.queues.find(group.shard);
    const { service, shard, rank } = group;
    const ahead = shardQueue?.queue.countAhead(rank) ?? 0;
    const inOrder = this.wait(service, shardQueue, { shard, rank, place: ahead + 1 });
    return Math.max(inOrder, this.untilCapacity(shard));
  }

  /** Returns the rate at which groups of this rank drain here: of the service, or of the key's owner. */
  perMilli(group: RequestGroup): number {
    const { service, shard, rank } = group;
    const queues =
      shard === null
        ? 1
        : Math.max(1, service.queues.countFor(this.context.ownerOf(shard)?.upstream.id ?? null));
    return (
      queues /
      Math.max(MIN_INTERVAL_MILLIS, this.wait(service, service.queues.find(shard), { shard, rank, place: 1 }))
    );
  }

  /** Returns milliseconds until the last waiting group of a rank is dispatched. */
  untilLast(service: ServiceState, shardQueue: ShardQueue, rank: number): number {
    return this.wait(service, shardQueue, {
      shard: shardQueue.shard,
      rank,
      place: shardQueue.queue.countAhead(rank),
    });
  }

  /**
   * Returns milliseconds until an owner that reported to be full accepts a request again: some of its requests must end first, whatever
   * is waiting.
   */
  private untilCapacity(shard: string | null): number {
    const owner = shard === null ? undefined : this.context.ownerOf(shard);
    return owner?.upstream.millisUntilCapacity(this.context.now) ?? 0;
  }

  private wait(
    service: ServiceState,
    shardQueue: ShardQueue | undefined,
    { shard, rank, place }: QueuePosition,
  ): number {
    const { now } = this.context;
    const assumed = shard === null ? service.capacityPerMilli(now) : this.shareOfOwner(service, shard);
    const rate = shardQueue?.drainRateOf(rank).perMilli(now, assumed) ?? assumed;
    return rate > 0 ? place / rate : 0;
  }

  /** Returns the share of the owner's rate for one shard queue: the owner serves its queues in rotation. */
  private shareOfOwner(service: ServiceState, shard: string): number {
    const owner = this.context.ownerOf(shard);
    if (owner === undefined) {
      return 0;
    }
    const queues = Math.max(1, service.queues.countFor(owner.upstream.id));
    return service.capacityOf(owner.upstream) / queues;
  }
}
