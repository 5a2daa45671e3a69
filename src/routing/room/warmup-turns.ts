/**
 * When a router may send to an upstream that is cold. It bears a few requests a second from all routers together and falls over at well
 * above that, while routers don't talk to each other; so they take turns. A round has one turn for each router of the zone, evenly
 * spread, and lasts as long as the upstream needs for a request of each. A turn that isn't used is lost after a while: were it kept, all
 * routers together could spend theirs in the same moment.
 *
 * Load answered: a zone of 23 to 27 upstreams that comes back cold, at once, under the requests of the whole zone; an upstream that joins
 * while every router looks for one with no load.
 */
import type { MonotonicMillis, UpstreamId } from '../../model/identifiers.js';
import type { RoundPlace } from '../../model/router-turn.js';
import type { WarmupTerms } from '../../model/service.js';
import type { WarmupBounds } from '../../model/warmup-bounds.js';
import { affinityOf } from '../upstream/affinity.js';

/** An unused turn is good for this long. In any second that many turns beyond those that begin in it may be spent. */
const TURN_MILLIS = 1000;
/** Share of the bound that turns may fill: routers that are out of touch or just started know nothing of them. */
const BOUND_SHARE = 0.8;
/** Beyond the rate itself, each member that numbers routers of a zone may begin one turn more in a second. */
const NUMBERING_MEMBERS = 3;
const LEAST_PER_SECOND = 0.1;
const MILLIS_PER_SECOND = 1000;
/** Values of `affinityOf`. */
const HASHES = 2 ** 32;
/** Any name will do, as long as it is the same one at all routers. */
const COMMON_NAME = 'turns';

/** Requests a second that all routers of a zone together send to a cold upstream of it. */
export function turnsPerSecond(terms: WarmupTerms, bounds: WarmupBounds): number {
  const most = terms.perSecond * bounds.overrunFactor + bounds.marginRequests;
  const room = most * BOUND_SHARE - NUMBERING_MEMBERS;
  const byBound = room / (1 + TURN_MILLIS / MILLIS_PER_SECOND);
  return Math.max(LEAST_PER_SECOND, Math.min(terms.perSecond, byBound));
}

/** The turns of one router at one cold upstream. */
export class WarmupTurns {
  /** Number of the latest turn that was used. */
  #used = Number.NEGATIVE_INFINITY;
  readonly #shift: number;

  /** `coldFrom`: when this router heard that the upstream is cold; all in touch hear of it within a moment. */
  constructor(
    upstream: UpstreamId,
    private readonly coldFrom: MonotonicMillis,
  ) {
    // Turns at many upstreams that turn cold together don't fall into one moment.
    this.#shift = affinityOf(COMMON_NAME, upstream) / HASHES;
  }

  /** Whether one more request may go there now that any other upstream could take as well. */
  isDue(place: RoundPlace, perSecond: number, now: MonotonicMillis): boolean {
    const { number, age } = this.#latest(place, perSecond, now);
    return number > this.#used && number >= 0 && age < TURN_MILLIS;
  }

  /**
   * Whether one more request may go there that nobody else can take. Such a one comes when it comes, so a turn that isn't used stays
   * good until the next one; within the seconds for which an upstream is cold that adds up to about what it bears.
   */
  isLeft(place: RoundPlace, perSecond: number, now: MonotonicMillis): boolean {
    const { number } = this.#latest(place, perSecond, now);
    return number > this.#used && number >= 0;
  }

  /** A request goes there. */
  use(place: RoundPlace, perSecond: number, now: MonotonicMillis): void {
    this.#used = this.#latest(place, perSecond, now).number;
  }

  /** The turn that began last, and how long ago that was. */
  #latest({ phaseShare, routers }: RoundPlace, perSecond: number, now: MonotonicMillis) {
    const roundMillis = (routers / perSecond) * MILLIS_PER_SECOND;
    const phase = (phaseShare + this.#shift) % 1;
    const rounds = (now - this.coldFrom) / roundMillis - phase;
    const number = Math.floor(rounds);
    return { number, age: (rounds - number) * roundMillis };
  }
}
