/**
 * Decides when a router may send to a cold upstream. A cold upstream handles a few requests per second from all routers together and
 * fails well above that. Since routers don't communicate with each other, they take turns in time slots: a round has one time slot for each
 * router of the zone, evenly spread, and lasts as long as the upstream needs for one request of each router. An unused time slot expires,
 * since otherwise all routers together could use theirs at the same moment.
 *
 * Guards against two loads: a zone of 23 to 27 upstreams that restarts cold, at once, under the requests of the whole zone; and a new
 * upstream that every router selects because it has no load.
 */
import type { MonotonicMillis, UpstreamId } from '../../model/identifiers.js';
import type { RoundPosition } from '../../model/router-time-slots.js';
import type { WarmupLimit } from '../../model/service.js';
import type { WarmupBounds } from '../../model/warmup-bounds.js';
import { affinityOf } from '../upstream/affinity.js';

/**
 * For a request that any upstream could serve, an unused time slot is valid for this long. In any second, as many time slots as begin in
 * this time may be used in addition to those that begin in that second.
 */
const TIME_SLOT_MILLIS = 1000;
/** Share of the bound that time slots may fill: routers that are disconnected or have just started don't follow them. */
const BOUND_SHARE = 0.8;
/** Each member that numbers routers of a zone may start one time slot per second beyond the rate. */
const NUMBERING_MEMBERS = 3;
const MIN_PER_SECOND = 0.1;
const MILLIS_PER_SECOND = 1000;
/** Number of values of `affinityOf`. */
const HASHES = 2 ** 32;
/** Any name works as long as all routers use the same one. */
const HASH_NAME = 'turns';

/** Returns the requests per second that all routers of a zone together send to a cold upstream. */
export function timeSlotsPerSecond(terms: WarmupLimit, bounds: WarmupBounds): number {
  const maxRequests = terms.perSecond * bounds.overrunFactor + bounds.marginRequests;
  const maxSlotsAndCarryOver = maxRequests * BOUND_SHARE - NUMBERING_MEMBERS;
  const maxByBound = maxSlotsAndCarryOver / (1 + TIME_SLOT_MILLIS / MILLIS_PER_SECOND);
  return Math.max(MIN_PER_SECOND, Math.min(terms.perSecond, maxByBound));
}

/** The time slots of one router at one cold upstream. */
export class WarmupTimeSlots {
  /** Number of the latest time slot that was used. */
  #lastUsed = Number.NEGATIVE_INFINITY;
  readonly #phaseShift: number;

  /** `coldFrom`: when this router received the report that the upstream is cold; all connected routers receive it at almost the same time. */
  constructor(
    upstream: UpstreamId,
    private readonly coldFrom: MonotonicMillis,
  ) {
    // Spreads the time slots at upstreams that become cold together.
    this.#phaseShift = affinityOf(HASH_NAME, upstream) / HASHES;
  }

  /** Whether a request that any other upstream could take as well may be sent now. */
  isDue(place: RoundPosition, perSecond: number, now: MonotonicMillis): boolean {
    const { number, age } = this.#latest(place, perSecond, now);
    return number > this.#lastUsed && number >= 0 && age < TIME_SLOT_MILLIS;
  }

  /**
   * Whether a request that no other upstream can take may be sent now. Its arrival can't be planned, so an unused time slot stays valid
   * until the next one; over the few seconds for which an upstream is cold, this adds up to about what it can handle.
   */
  isUnused(place: RoundPosition, perSecond: number, now: MonotonicMillis): boolean {
    const { number } = this.#latest(place, perSecond, now);
    return number > this.#lastUsed && number >= 0;
  }

  /** Uses the current time slot for a request. */
  use(place: RoundPosition, perSecond: number, now: MonotonicMillis): void {
    this.#lastUsed = this.#latest(place, perSecond, now).number;
  }

  /** Returns the time slot that began last, and its age. */
  #latest({ phaseShare, routers }: RoundPosition, perSecond: number, now: MonotonicMillis) {
    const roundMillis = (routers / perSecond) * MILLIS_PER_SECOND;
    const phase = (phaseShare + this.#phaseShift) % 1;
    const rounds = (now - this.coldFrom) / roundMillis - phase;
    const number = Math.floor(rounds);
    return { number, age: (rounds - number) * roundMillis };
  }
}
