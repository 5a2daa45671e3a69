/** Reserves return times for rejected request groups, and matches arriving groups with these reservations. */

import type { RequestGroup } from '../request-group.js';
import type { RouterContext } from '../router-context.js';
import { MAX_RETRY_MILLIS, MIN_RETRY_MILLIS } from './retry-after.js';
import { type ReturnCounts, ReturnSchedules, type ReturnTarget } from './return-schedules.js';
import type { WaitEstimate } from './wait-estimate.js';
import { latestStartOf } from './waiting-class.js';

/** Callers follow a retry delay up to this share of the time left until their deadline; a later time is of no use to them. */
const MAX_DELAY_SHARE = 1 / 3;

export class ReturnReservations {
  readonly #schedules = new ReturnSchedules();
  readonly #context: RouterContext;
  readonly #estimate: WaitEstimate;

  constructor(context: RouterContext, estimate: WaitEstimate) {
    this.#context = context;
    this.#estimate = estimate;
  }

  get counts(): ReturnCounts {
    return this.#schedules.counts;
  }

  /** Marks an arriving group if a reservation for it is due; its target then counts from the first arrival of its caller. */
  matchReservation(group: RequestGroup): void {
    if (this.#schedules.isEmpty) {
      return;
    }
    const arrival = { ...this.#targetOf(group), deadline: this.#deadlineOf(group) };
    const reservation = this.#schedules.claim(arrival, this.#context.now);
    if (reservation !== null) {
      group.isPromisedReturn = true;
      group.askedAt = Math.min(group.askedAt, reservation.firstArrivedAt);
    }
  }

  /**
   * Returns how much longer a newly arrived group waits because of reservations; 0 if nothing is waiting, so that no slot stays idle for
   * callers who may not return.
   */
  reservedMillis(group: RequestGroup, waitMillis: number): number {
    const isQueueEmpty = (group.service.queues.find(group.shard)?.queue.length ?? 0) === 0;
    if (group.isPromisedReturn || isQueueEmpty || this.#schedules.isEmpty) {
      return 0;
    }
    const places = this.#schedules.reservedPlaces(this.#targetOf(group), waitMillis, this.#context.now);
    return places === 0 ? 0 : places / this.#estimate.perMilli(group);
  }

  /** Returns the delay after which a group rejected for lack of capacity may come back, or `null` if no time is useful to it. */
  reserve(group: RequestGroup, waitMillis: number): number | null {
    const { now } = this.#context;
    if (group.isPromisedReturn) {
      group.isPromisedReturn = false;
      this.#schedules.countBroken();
    }
    const deadline = this.#deadlineOf(group);
    const latestMillis = this.#latestMillis(group, deadline - now);
    const { targetMillis } = group.terms;
    const expectedMillis = group.service.expectedMillis(now);
    const request = {
      ...this.#targetOf(group),
      earliestMillis: Math.max(MIN_RETRY_MILLIS, waitMillis + this.reservedMillis(group, waitMillis)),
      latestMillis,
      // Without a target, an answer is worth the same at any time before the deadline.
      reservedMillis: targetMillis === null ? latestMillis : latestStartOf(group, expectedMillis) - now,
      perMilli: this.#estimate.perMilli(group),
      deadline,
      firstArrivedAt: group.askedAt,
    };
    const millis = this.#schedules.reserve(request, now);
    group.returnOffer = millis === null ? 'none-in-time' : 'promised';
    if (group.shard === null) {
      group.service.onReturnPromised(now);
    }
    return millis === null ? null : Math.ceil(millis);
  }

  /** A caller that sends no deadline may follow any delay. */
  #latestMillis(group: RequestGroup, leftMillis: number): number {
    return deadlineMillisOf(group) === null
      ? MAX_RETRY_MILLIS
      : Math.min(
          MAX_RETRY_MILLIS,
          leftMillis * MAX_DELAY_SHARE,
          leftMillis - group.service.expectedMillis(this.#context.now),
        );
  }

  /** Returns the deadline that the caller sent, if any; the deadline of its route may be earlier. */
  #deadlineOf(group: RequestGroup): number {
    const deadlineMillis = deadlineMillisOf(group);
    return deadlineMillis === null ? group.deadline : group.arrivedAt + deadlineMillis;
  }

  #targetOf({ service, shard, rank }: RequestGroup): ReturnTarget {
    const owner = shard === null ? undefined : this.#context.ownerOf(shard);
    const schedule = owner === undefined ? service.name : `${service.name}/${owner.upstream.id}`;
    return { schedule, rank };
  }
}

/** Returns the time left that the first caller sent, or `null` if it sent none. */
function deadlineMillisOf({ members }: RequestGroup): number | null {
  return members[0]?.request.deadlineMillis ?? null;
}
