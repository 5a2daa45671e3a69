/** What refused work of a router is told of its return, and whether what comes was told to. */
import type { RouterContext } from '../router-context.js';
import type { Work } from '../work.js';
import { LONGEST_MILLIS, SHORTEST_MILLIS } from './retry-after.js';
import { type ReturnCounts, type ReturnPlace, ReturnTimes } from './return-times.js';
import type { WaitEstimate } from './wait-estimate.js';
import { latestStartOf } from './waiting-class.js';

/** Callers keep to a time that they are told up to this share of what they have left; a later one is of no use to them. */
const HEEDED_SHARE = 1 / 3;

export class ReturnPromises {
  readonly #times = new ReturnTimes();
  readonly #context: RouterContext;
  readonly #estimate: WaitEstimate;

  constructor(context: RouterContext, estimate: WaitEstimate) {
    this.#context = context;
    this.#estimate = estimate;
  }

  get counts(): ReturnCounts {
    return this.#times.counts;
  }

  /** Notes whether a work that has just come was told to come now; its target then counts from when it came first. */
  matchPromise(work: Work): void {
    if (this.#times.isEmpty) {
      return;
    }
    const arrival = { ...this.#placeOf(work), deadline: this.#deadlineOf(work) };
    const taken = this.#times.take(arrival, this.#context.now);
    if (taken !== null) {
      work.isExpected = true;
      work.askedAt = Math.min(work.askedAt, taken.cameAt);
    }
  }

  /**
   * Milliseconds by which a work that comes first waits longer, for the sake of those who were told to come. None where nothing waits: no
   * slot is to idle because those who were told don't come.
   */
  keptMillis(work: Work, waitMillis: number): number {
    const isFirst = (work.service.lanes.find(work.shard)?.queue.length ?? 0) === 0;
    if (work.isExpected || isFirst || this.#times.isEmpty) {
      return 0;
    }
    const places = this.#times.placesKept(this.#placeOf(work), waitMillis, this.#context.now);
    return places === 0 ? 0 : places / this.#estimate.perMilli(work);
  }

  /** Time after which a work refused for want of room is to come back; `null`: none is of use to it. */
  promise(work: Work, waitMillis: number): number | null {
    const { now } = this.#context;
    if (work.isExpected) {
      work.isExpected = false;
      this.#times.countBroken();
    }
    const deadline = this.#deadlineOf(work);
    const latestMillis = this.#latestMillis(work, deadline - now);
    const { targetMillis } = work.terms;
    const expectedMillis = work.service.expectedMillis(now);
    const ask = {
      ...this.#placeOf(work),
      soonestMillis: Math.max(SHORTEST_MILLIS, waitMillis + this.keptMillis(work, waitMillis)),
      latestMillis,
      // Without a target an answer is worth as much at any time before the deadline.
      keptMillis: targetMillis === null ? latestMillis : latestStartOf(work, expectedMillis) - now,
      perMilli: this.#estimate.perMilli(work),
      deadline,
      cameAt: work.askedAt,
    };
    const millis = this.#times.promise(ask, now);
    work.returnWord = millis === null ? 'none-in-time' : 'promised';
    if (work.shard === null) {
      work.service.returnsPromised(now);
    }
    return millis === null ? null : Math.ceil(millis);
  }

  /** One that says nothing of its deadline may heed any time. */
  #latestMillis(work: Work, leftMillis: number): number {
    return deadlineMillisOf(work) === null
      ? LONGEST_MILLIS
      : Math.min(
          LONGEST_MILLIS,
          leftMillis * HEEDED_SHARE,
          leftMillis - work.service.expectedMillis(this.#context.now),
        );
  }

  /** When the caller gives up, by its own word; its route may give up sooner. */
  #deadlineOf(work: Work): number {
    const deadlineMillis = deadlineMillisOf(work);
    return deadlineMillis === null ? work.deadline : work.arrivedAt + deadlineMillis;
  }

  #placeOf({ service, shard, rank }: Work): ReturnPlace {
    const owner = shard === null ? undefined : this.#context.ownerOf(shard);
    const lane = owner === undefined ? service.name : `${service.name}/${owner.upstream.id}`;
    return { lane, rank };
  }
}

/** What its first caller says that it has left; `null`: nothing. */
function deadlineMillisOf({ members }: Work): number | null {
  return members[0]?.request.deadlineMillis ?? null;
}
