/**
 * Schedules the return of rejected callers. Each caller gets its own place in a schedule, at the rate at which requests of its rank drain
 * here, and the capacity at that time is reserved against new arrivals for a short time. A returning request carries no mark of the
 * earlier try, so an arrival is matched with a due reservation by its deadline: a new arrival has a later one than a returning caller.
 */

/** Reserved capacity is held for this long after the return time: the caller needs a new connection, and its clock runs independently. */
export const GRACE_MILLIS = 200;
/** A caller may return this much earlier than its return time. */
const EARLY_TOLERANCE_MILLIS = 20;
/** Minimum gap between the return times of callers of different ranks. */
const MIN_GAP_MILLIS = 1;
/**
 * Wait estimates may be off by this factor. A caller whose place is later than is useful to it, but within this factor, is scheduled as
 * late as it can come, without reserved capacity: a caller without a return time stays away, though capacity may become available sooner.
 */
const ESTIMATE_ERROR_FACTOR = 1.5;
/**
 * Share of the time before the latest return time over which callers scheduled as late as they can come are spread, and the step of the
 * spread. The step is the golden ratio's fraction, whose multiples never coincide.
 */
const SPREAD_SHARE = 0.25;
const SPREAD_STEP = (Math.sqrt(5) - 1) / 2;
/** Maximum number of reservations in one schedule; further callers get no return time. */
const MAX_RESERVATIONS = 512;
/** Initially assumed share of callers that return to this router, and the weight of each observation. */
const INITIAL_RETURN_SHARE = 0.25;
const RETURN_SHARE_WEIGHT = 0.05;

/** A schedule (of a service, or of an owner of its keys) and a rank in it. */
export interface ReturnTarget {
  readonly schedule: string;
  readonly rank: number;
}

/** Parameters of a reservation for a rejected caller. */
export interface ReturnRequest extends ReturnTarget {
  /** Delay until capacity is available that no waiting request needs. */
  readonly earliestMillis: number;
  /** The longest delay that is useful to the caller. */
  readonly latestMillis: number;
  /** Capacity is reserved up to this delay. After a longer one the caller still goes before others, but they aren't rejected for it. */
  readonly reservedMillis: number;
  /** Rate at which requests of its rank drain here. */
  readonly perMilli: number;
  /** When the caller gives up. */
  readonly deadline: number;
  /** When the caller's first request arrived. */
  readonly firstArrivedAt: number;
}

/** An arriving request. */
export interface Arrival extends ReturnTarget {
  readonly deadline: number;
}

/** A reservation whose caller has returned. */
export interface ClaimedReservation {
  /** When the first request of the caller arrived. */
  readonly firstArrivedAt: number;
}

/** Counts since this router started. */
export interface ReturnCounts {
  /** Callers who got a return time of their own. */
  readonly made: number;
  /** Callers who returned on time and weren't rejected again. */
  readonly kept: number;
  /** Callers who returned on time and were rejected again. */
  readonly broken: number;
  /** Callers who got no return time, since none was useful to them. */
  readonly hopeless: number;
}

interface Reservation extends ClaimedReservation {
  /** Its place in the schedule. */
  readonly at: number;
  /** The return time that the caller received; `at` or earlier. */
  readonly returnAt: number;
  /** Whether its capacity is reserved against new arrivals. */
  readonly isCapacityReserved: boolean;
  readonly rank: number;
  /** The latest deadline with which an arrival is matched with this reservation. */
  readonly latestDeadline: number;
}

interface Schedule {
  /** Ordered by time. */
  readonly reservations: Reservation[];
  /** Share of the scheduled callers who returned to this router. */
  returnShare: number;
}

export class ReturnSchedules {
  readonly #schedules = new Map<string, Schedule>();
  readonly #counts = { made: 0, kept: 0, broken: 0, hopeless: 0 };

  get counts(): ReturnCounts {
    return this.#counts;
  }

  /** Whether there are no reservations; lookups can be skipped then. */
  get isEmpty(): boolean {
    return this.#schedules.size === 0;
  }

  /** Returns the delay after which a rejected caller may come back, or `null` if no time is useful to it. */
  reserve(request: ReturnRequest, now: number): number | null {
    const schedule = this.#obtain(request.schedule, now);
    const place = findFreePlace(schedule, request, now);
    const isHopeless = place - now > request.latestMillis * ESTIMATE_ERROR_FACTOR;
    if (isHopeless || schedule.reservations.length >= MAX_RESERVATIONS) {
      this.#counts.hopeless += 1;
      return null;
    }
    this.#counts.made += 1;
    const isInTime = place - now <= request.latestMillis;
    const delayMillis = isInTime ? place - now : request.latestMillis * this.#spread();
    schedule.reservations.splice(indexAfter(schedule.reservations, place), 0, {
      at: place,
      returnAt: now + delayMillis,
      rank: request.rank,
      isCapacityReserved: isInTime && delayMillis <= request.reservedMillis,
      firstArrivedAt: request.firstArrivedAt,
      // A new arrival has more time left, by as much as this caller waits; the midpoint separates the two.
      latestDeadline: request.deadline + delayMillis / 2,
    });
    return delayMillis;
  }

  /** Returns a different share for each caller, just below 1. */
  #spread(): number {
    return 1 - SPREAD_SHARE * ((this.#counts.made * SPREAD_STEP) % 1);
  }

  /** Removes and returns the reservation that is due and matches an arrival, or `null` if there is none. */
  claim({ schedule: name, rank, deadline }: Arrival, now: number): ClaimedReservation | null {
    const schedule = this.#find(name, now);
    const reservations = schedule?.reservations ?? [];
    const position = reservations.findIndex(
      (reservation) =>
        reservation.returnAt - EARLY_TOLERANCE_MILLIS <= now &&
        reservation.rank === rank &&
        deadline <= reservation.latestDeadline,
    );
    const [claimed] = position < 0 ? [] : reservations.splice(position, 1);
    if (schedule === undefined || claimed === undefined) {
      return null;
    }
    recordReturn(schedule, true);
    this.#counts.kept += 1;
    return claimed;
  }

  /** Records that a caller who returned on time was rejected again. */
  countBroken(): void {
    this.#counts.kept -= 1;
    this.#counts.broken += 1;
  }

  /**
   * Returns how many places within a time are reserved against a new arrival of a rank: the reservations of its rank and of more
   * important ones, weighted with the share of callers that return to this router.
   */
  reservedPlaces({ schedule: name, rank }: ReturnTarget, withinMillis: number, now: number): number {
    const schedule = this.#find(name, now);
    const reservations = schedule?.reservations ?? [];
    const due = reservations.slice(0, indexAfter(reservations, now + withinMillis));
    return (
      due.filter((reservation) => reservation.isCapacityReserved && reservation.rank <= rank).length *
      (schedule?.returnShare ?? 0)
    );
  }

  #obtain(name: string, now: number): Schedule {
    const existing = this.#find(name, now);
    const schedule = existing ?? { reservations: [], returnShare: INITIAL_RETURN_SHARE };
    this.#schedules.set(name, schedule);
    return schedule;
  }

  /** Drops expired reservations, and the schedule if it is empty then. */
  #find(name: string, now: number): Schedule | undefined {
    const schedule = this.#schedules.get(name);
    if (schedule === undefined) {
      return undefined;
    }
    for (const _ of schedule.reservations.splice(0, indexAfter(schedule.reservations, now - GRACE_MILLIS))) {
      recordReturn(schedule, false);
    }
    const isEmpty = schedule.reservations.length === 0;
    if (isEmpty) {
      this.#schedules.delete(name);
    }
    return isEmpty ? undefined : schedule;
  }
}

function recordReturn(schedule: Schedule, hasReturned: boolean): void {
  schedule.returnShare += (Number(hasReturned) - schedule.returnShare) * RETURN_SHARE_WEIGHT;
}

/**
 * Returns the first time, from the earliest on, that is a place away from all reservations, at the current width of a place. Less
 * important callers go behind if both return, so their reservations only need the minimum gap.
 */
function findFreePlace(
  { reservations }: Schedule,
  { rank, earliestMillis, perMilli }: ReturnRequest,
  now: number,
): number {
  const placeMillis = 1 / perMilli;
  let at = now + earliestMillis;
  for (const reservation of reservations) {
    const gapMillis = reservation.rank <= rank ? placeMillis : MIN_GAP_MILLIS;
    if (reservation.at - at < gapMillis) {
      at = Math.max(at, reservation.at + gapMillis);
    } else if (reservation.at - at >= placeMillis) {
      break;
    }
  }
  return at;
}

/** Returns the index behind all reservations up to a time. */
function indexAfter(reservations: readonly Reservation[], at: number): number {
  let low = 0;
  let high = reservations.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((reservations[middle] as Reservation).at <= at) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}
