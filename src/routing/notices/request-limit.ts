/**
 * The rate limit that one run of an upstream sets for all routers together, and the part that this router may use: its time slots and
 * permits from the control leader. An answer without a limit ends it, unless its attempt started before the limit was last received:
 * answers arrive in any order.
 */
import type { MonotonicMillis } from '../../model/identifiers.js';
import { EVEN_SHARE, sharedPerSecond } from '../../model/limit-shares.js';
import type { RoundPosition } from '../../model/router-time-slots.js';
import type { ReportedLimit } from '../../model/upstream-notice.js';
import type { AttemptNumber } from '../types.js';
import { EvenTimeSlots } from './even-time-slots.js';

/** Sent requests are counted over this window; the router requests as many permits in advance. */
const USE_WINDOW_MILLIS = 250;
const MILLIS_PER_SECOND = 1000;
/** Age that is greater than that of any received limit. */
const NEVER_MILLIS = Number.MAX_SAFE_INTEGER;

/** Position of an answer among this router's attempts. */
export interface AnswerOrder {
  readonly attempt: AttemptNumber;
  /** The latest attempt started so far. */
  readonly latest: AttemptNumber;
}

interface Permits {
  count: number;
  readonly until: MonotonicMillis;
}

export class RequestLimit {
  /** `null` while no limit is in force. */
  #timeSlots: EvenTimeSlots | null = null;
  readonly #place: () => RoundPosition;
  #perSecond: number | null = null;
  #receivedAt: MonotonicMillis = Number.NEGATIVE_INFINITY;
  /** The latest attempt that had started when the limit was last received. */
  #latestWhenReceived: AttemptNumber = 0;
  /** Sorted by expiry, earliest first. */
  #permits: Permits[] = [];
  #nextAt: MonotonicMillis = Number.NEGATIVE_INFINITY;
  #useWindowAt: MonotonicMillis = Number.NEGATIVE_INFINITY;
  #used = 0;
  #usedInPreviousWindow = 0;

  /** `place` returns this router's current place among all routers. `shift`: see `EvenTimeSlots`. */
  constructor(
    place: () => RoundPosition,
    private readonly shift: number,
  ) {
    this.#place = place;
  }

  /** Requests per second over all routers; `null` while no limit is in force. */
  get perSecond(): number | null {
    return this.#perSecond;
  }

  get isInForce(): boolean {
    return this.#perSecond !== null;
  }

  /** Earliest time at which control may have a permit again. */
  get nextPermitAt(): MonotonicMillis {
    return this.#nextAt;
  }

  /** The last received limit and its age, to be reported to control. */
  lastReport(now: MonotonicMillis): ReportedLimit {
    const isReceived = this.#receivedAt !== Number.NEGATIVE_INFINITY;
    return { perSecond: this.#perSecond, heardAgoMillis: isReceived ? now - this.#receivedAt : NEVER_MILLIS };
  }

  /** Records the limit in an answer (`null` for none). Returns `true` if this changes the limit in force. */
  recordAnswer(perSecond: number | null, { attempt, latest }: AnswerOrder, now: MonotonicMillis): boolean {
    const isLower = perSecond !== null && perSecond < (this.#perSecond ?? Number.POSITIVE_INFINITY);
    if (attempt <= this.#latestWhenReceived && !isLower) {
      return false;
    }
    if (perSecond !== null) {
      this.#latestWhenReceived = latest;
    }
    this.#receivedAt = now;
    return this.#set(perSecond, now);
  }

  /** Records a limit that another router received, forwarded by control. Returns `true` if this changes the limit in force. */
  recordFromControl({ perSecond, heardAgoMillis }: ReportedLimit, now: MonotonicMillis): boolean {
    if (now - heardAgoMillis <= this.#receivedAt) {
      return false;
    }
    this.#receivedAt = now - heardAgoMillis;
    return this.#set(perSecond, now);
  }

  /** Whether the limit admits one more request now. */
  admits(now: MonotonicMillis): boolean {
    const timeSlots = this.#timeSlotsAt(now);
    return timeSlots === null || timeSlots.isDue(now) || this.permitsLeft(now) > 0;
  }

  /** Counts a sent request. Time slots expire sooner than permits, so an available one is used first. */
  sent(now: MonotonicMillis): void {
    const timeSlots = this.#timeSlotsAt(now);
    if (timeSlots === null) {
      return;
    }
    this.#countUse(now);
    if (timeSlots.isDue(now)) {
      timeSlots.use();
      return;
    }
    this.#dropSpentPermits(now);
    const [first] = this.#permits;
    if (first !== undefined) {
      first.count -= 1;
    }
  }

  permitsLeft(now: MonotonicMillis): number {
    this.#dropSpentPermits(now);
    return this.#permits.reduce((sum, { count }) => sum + count, 0);
  }

  /** Adds permits from control that are valid until then. */
  addPermits(count: number, until: MonotonicMillis): void {
    if (count > 0) {
      this.#permits.push({ count, until });
    }
  }

  /** Records that control has no permits before then. */
  recordDenial(nextAt: MonotonicMillis): void {
    this.#nextAt = nextAt;
  }

  /** Number of permits to request in advance: as many as were used in one recent window, or none if control ran short within the last second. */
  permitsToPrefetch(now: MonotonicMillis): number {
    const isScarce = now - this.#nextAt < MILLIS_PER_SECOND;
    this.#moveWindow(now);
    return isScarce ? 0 : Math.max(this.#used, this.#usedInPreviousWindow);
  }

  /** Milliseconds until the limit admits one more request, as far as known; 0 if that may be at any moment. */
  waitMillis(now: MonotonicMillis): number {
    return Math.max(0, this.#nextAt - now);
  }

  #dropSpentPermits(now: MonotonicMillis): void {
    this.#permits = this.#permits.filter(({ count, until }) => count > 0 && now < until);
  }

  #set(perSecond: number | null, now: MonotonicMillis): boolean {
    if (perSecond === this.#perSecond) {
      return false;
    }
    // The time until now counts at the previous rate; a new limit has no time slots from before its start.
    const timeSlots = this.#timeSlotsAt(now);
    this.#perSecond = perSecond;
    this.#timeSlots = perSecond === null ? null : (timeSlots ?? new EvenTimeSlots(this.shift));
    this.#timeSlotsAt(now);
    if (perSecond === null) {
      this.#permits = [];
      this.#nextAt = Number.NEGATIVE_INFINITY;
    }
    return true;
  }

  /** Returns the time slots, advanced to `now`; `null` while no limit is in force. */
  #timeSlotsAt(now: MonotonicMillis): EvenTimeSlots | null {
    if (this.#perSecond !== null) {
      this.#timeSlots?.advance(this.#place(), sharedPerSecond(this.#perSecond) * EVEN_SHARE, now);
    }
    return this.#timeSlots;
  }

  #countUse(now: MonotonicMillis): void {
    this.#moveWindow(now);
    this.#used += 1;
  }

  #moveWindow(now: MonotonicMillis): void {
    if (now - this.#useWindowAt < USE_WINDOW_MILLIS) {
      return;
    }
    this.#usedInPreviousWindow = now - this.#useWindowAt < 2 * USE_WINDOW_MILLIS ? this.#used : 0;
    this.#used = 0;
    this.#useWindowAt = now;
  }
}
