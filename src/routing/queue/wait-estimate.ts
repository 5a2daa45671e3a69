/** How long waiting work has to wait, from the measured speed at which its lane drains. */

import type { RouterContext } from '../router-context.js';
import type { ServiceState } from '../service-state.js';
import type { Work } from '../work.js';
import type { Lane } from './lane-table.js';

/** A place in the order of a lane. */
interface Place {
  readonly shard: string | null;
  readonly rank: number;
  /** How many of its rank and of more important ones go before it, itself counted. */
  readonly place: number;
}

/** Places of work are no closer to one another than this. */
const LEAST_PLACE_MILLIS = 0.1;

export class WaitEstimate {
  constructor(private readonly context: RouterContext) {}

  /** Milliseconds until a work that joins its lane now would be dispatched; 0 while nothing is known. */
  untilDispatch(work: Work): number {
    const lane = work.service.lanes.find(work.shard);
    const { service, shard, rank } = work;
    const ahead = lane?.queue.countAhead(rank) ?? 0;
    const inTurn = this.wait(service, lane, { shard, rank, place: ahead + 1 });
    return Math.max(inTurn, this.untilRoom(shard));
  }

  /** Work of this rank that drains here in a millisecond: of the service, or of the key's owner. */
  perMilli(work: Work): number {
    const { service, shard, rank } = work;
    const lanes =
      shard === null
        ? 1
        : Math.max(1, service.lanes.countFor(this.context.ownerOf(shard)?.upstream.id ?? null));
    return (
      lanes /
      Math.max(LEAST_PLACE_MILLIS, this.wait(service, service.lanes.find(shard), { shard, rank, place: 1 }))
    );
  }

  /** The same for the last work of a rank that waits in a lane. */
  ofLast(service: ServiceState, lane: Lane, rank: number): number {
    return this.wait(service, lane, { shard: lane.shard, rank, place: lane.queue.countAhead(rank) });
  }

  /** An owner that said that it is full takes nothing before some of its work is done, whoever waits. */
  private untilRoom(shard: string | null): number {
    const owner = shard === null ? undefined : this.context.ownerOf(shard);
    return owner?.upstream.roomInMillis(this.context.now) ?? 0;
  }

  private wait(service: ServiceState, lane: Lane | undefined, { shard, rank, place }: Place): number {
    const { now } = this.context;
    const assumed = shard === null ? service.capacityPerMilli(now) : this.shareOfOwner(service, shard);
    const rate = lane?.drainRateOf(rank).perMilli(now, assumed) ?? assumed;
    return rate > 0 ? place / rate : 0;
  }

  /** An owner serves its lanes in turn. */
  private shareOfOwner(service: ServiceState, shard: string): number {
    const owner = this.context.ownerOf(shard);
    if (owner === undefined) {
      return 0;
    }
    const lanes = Math.max(1, service.lanes.countFor(owner.upstream.id));
    return service.capacityOf(owner.upstream) / lanes;
  }
}
