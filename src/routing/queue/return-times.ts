/**
 * When refused callers are told to come back: each gets a place of its own in one schedule, at the rate at which work of its rank drains
 * here, and the room of that moment is kept from those who come first, for a short time. Callers carry no mark of an earlier try, so one
 * that comes is taken for one that was told if a promise is due and as much of its time has passed as of the one who was told.
 */

/** The room of a promised moment is kept for this long after it: a caller needs a new connection, and its clock isn't ours. */
export const GRACE_MILLIS = 200;
/** Who comes a little sooner than told is taken in all the same. */
const EARLY_MILLIS = 20;
/** Callers of different ranks are told times that differ by this at least. */
const APART_MILLIS = 1;
/**
 * Waits are estimates that may be off by this factor. One whose place is later than is of use to it, but not by more, comes as late as it
 * can, without room that is kept: callers who are told none stay away, though room may open sooner.
 */
const ESTIMATE_FACTOR = 1.5;
/** Over which share of the time before the latest such callers are spread, and by which step: its multiples never fall together. */
const SPREAD_SHARE = 0.25;
const SPREAD_STEP = (Math.sqrt(5) - 1) / 2;
/** Promises that stand for one lane at most; whoever is refused beyond that is told no time. */
const MOST_PROMISES = 512;
/** Share of those told that are taken to come to this router, before any was seen, and the weight of each one. */
const FIRST_COMING_SHARE = 0.25;
const COMING_WEIGHT = 0.05;

/** What callers wait for: a service, or an owner of its keys; and their rank. */
export interface ReturnPlace {
  readonly lane: string;
  readonly rank: number;
}

/** What a refused caller needs. */
export interface ReturnAsk extends ReturnPlace {
  /** Time until there is room that nobody waits for. */
  readonly soonestMillis: number;
  /** The latest time that is of use to it. */
  readonly latestMillis: number;
  /** Up to then room is kept for it; later it goes before others, but they aren't refused for it. */
  readonly keptMillis: number;
  /** What of its rank drains here. */
  readonly perMilli: number;
  /** When it gives up. */
  readonly deadline: number;
  /** When it came first. */
  readonly cameAt: number;
}

/** One that comes. */
export interface Arrival extends ReturnPlace {
  readonly deadline: number;
}

/** A promise that somebody came for. */
export interface TakenPromise {
  /** When the one who was told came first. */
  readonly cameAt: number;
}

/** Since this router started. */
export interface ReturnCounts {
  /** Callers who were told a time of their own. */
  readonly made: number;
  /** Callers who came when told, and weren't refused again. */
  readonly kept: number;
  /** Callers who came when told, and were refused again. */
  readonly broken: number;
  /** Callers who were told no time, since none was of use to them. */
  readonly hopeless: number;
}

interface Promised extends TakenPromise {
  /** Its place in the schedule. */
  readonly at: number;
  /** When its caller was told to come: then, or sooner. */
  readonly toldAt: number;
  /** Whether its room is kept from those who come first. */
  readonly isKept: boolean;
  readonly rank: number;
  /** The latest deadline with which a caller is taken for the one who was told. */
  readonly latestDeadline: number;
}

interface ReturnLane {
  /** By time. */
  readonly promises: Promised[];
  /** Share of those told who came here. */
  comingShare: number;
}

export class ReturnTimes {
  readonly #lanes = new Map<string, ReturnLane>();
  readonly #counts = { made: 0, kept: 0, broken: 0, hopeless: 0 };

  get counts(): ReturnCounts {
    return this.#counts;
  }

  /** Whether nothing is promised: nothing is looked up then. */
  get isEmpty(): boolean {
    return this.#lanes.size === 0;
  }

  /** Time after which a refused caller is to come back; `null`: none is of use to it. */
  promise(ask: ReturnAsk, now: number): number | null {
    const lane = this.#obtain(ask.lane, now);
    const place = freePlace(lane, ask, now);
    const isHopeless = place - now > ask.latestMillis * ESTIMATE_FACTOR;
    if (isHopeless || lane.promises.length >= MOST_PROMISES) {
      this.#counts.hopeless += 1;
      return null;
    }
    this.#counts.made += 1;
    const isInTime = place - now <= ask.latestMillis;
    const toldMillis = isInTime ? place - now : ask.latestMillis * this.#spread();
    lane.promises.splice(placeAfter(lane.promises, place), 0, {
      at: place,
      toldAt: now + toldMillis,
      rank: ask.rank,
      isKept: isInTime && toldMillis <= ask.keptMillis,
      cameAt: ask.cameAt,
      // One that comes first has as much more time left as this one waits; halfway between tells them apart.
      latestDeadline: ask.deadline + toldMillis / 2,
    });
    return toldMillis;
  }

  /** Another share for each one that is told, near to all. */
  #spread(): number {
    return 1 - SPREAD_SHARE * ((this.#counts.made * SPREAD_STEP) % 1);
  }

  /** The promise that is due and that an arrival is taken to have come for; it is done with then. `null`: there is none. */
  take({ lane: name, rank, deadline }: Arrival, now: number): TakenPromise | null {
    const lane = this.#find(name, now);
    const promises = lane?.promises ?? [];
    const position = promises.findIndex(
      (promised) =>
        promised.toldAt - EARLY_MILLIS <= now &&
        promised.rank === rank &&
        deadline <= promised.latestDeadline,
    );
    const [taken] = position < 0 ? [] : promises.splice(position, 1);
    if (lane === undefined || taken === undefined) {
      return null;
    }
    noteComing(lane, true);
    this.#counts.kept += 1;
    return taken;
  }

  /** One that came when told had to be refused again. */
  countBroken(): void {
    this.#counts.kept -= 1;
    this.#counts.broken += 1;
  }

  /**
   * Places that are kept from one that comes first on a rank, among those that are due within a time: as many as were promised to its rank
   * and to more important ones, as far as those told come to this router.
   */
  placesKept({ lane: name, rank }: ReturnPlace, withinMillis: number, now: number): number {
    const lane = this.#find(name, now);
    const promises = lane?.promises ?? [];
    const due = promises.slice(0, placeAfter(promises, now + withinMillis));
    return (
      due.filter((promised) => promised.isKept && promised.rank <= rank).length * (lane?.comingShare ?? 0)
    );
  }

  #obtain(name: string, now: number): ReturnLane {
    const known = this.#find(name, now);
    const lane = known ?? { promises: [], comingShare: FIRST_COMING_SHARE };
    this.#lanes.set(name, lane);
    return lane;
  }

  /** Drops promises whose time is over, and a lane in which none is left. */
  #find(name: string, now: number): ReturnLane | undefined {
    const lane = this.#lanes.get(name);
    if (lane === undefined) {
      return undefined;
    }
    for (const _ of lane.promises.splice(0, placeAfter(lane.promises, now - GRACE_MILLIS))) {
      noteComing(lane, false);
    }
    const isOver = lane.promises.length === 0;
    if (isOver) {
      this.#lanes.delete(name);
    }
    return isOver ? undefined : lane;
  }
}

function noteComing(lane: ReturnLane, hasCome: boolean): void {
  lane.comingShare += (Number(hasCome) - lane.comingShare) * COMING_WEIGHT;
}

/**
 * The first time from the soonest on that is a place away from all that stand, as wide as places are now. Those of less important ranks go
 * behind when both come, so they only aren't told the same time.
 */
function freePlace(
  { promises }: ReturnLane,
  { rank, soonestMillis, perMilli }: ReturnAsk,
  now: number,
): number {
  const placeMillis = 1 / perMilli;
  let at = now + soonestMillis;
  for (const promised of promises) {
    const apartMillis = promised.rank <= rank ? placeMillis : APART_MILLIS;
    if (promised.at - at < apartMillis) {
      at = Math.max(at, promised.at + apartMillis);
    } else if (promised.at - at >= placeMillis) {
      break;
    }
  }
  return at;
}

/** Place behind all promises up to a time. */
function placeAfter(promises: readonly Promised[], at: number): number {
  let low = 0;
  let high = promises.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((promises[middle] as Promised).at <= at) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}
