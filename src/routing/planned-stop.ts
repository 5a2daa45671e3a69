/** A planned stop of the router, whose end is known: decides which requests may still be started. */
import type { MonotonicMillis } from '../model/identifiers.js';

/** When a refused caller may come back: other routers take its request at once. */
export const STOPPING_RETRY_MILLIS = 50;

/** Share of the stop in which requests are started that are expected to end in time, though their own limits would let them run longer. */
const EXPECTED_START_SHARE = 0.5;
/** Upper bound of that part: callers have other routers by then. */
const MAX_EXPECTED_START_MILLIS = 3000;

/** Multiple of its usual time that must be left for a request that may not run twice: what is cut off, its caller can't send again. */
const UNREPEATABLE_FACTOR = 3;

/** What is known of a request that may be started. */
export interface StopCandidate {
  /** Its own limit: the caller's deadline or the route's, whichever is earlier. */
  readonly deadline: MonotonicMillis;
  /** How long such requests usually take. */
  readonly expectedMillis: number;
  readonly isRepeatable: boolean;
}

/** An end that is noticed later than this was held up, and so were the answers that came meanwhile. */
const LATE_END_MILLIS = 10;
/** How long such answers have until they are read. */
const LATE_ANSWERS_MILLIS = 20;

export class PlannedStop {
  readonly #startsByExpectationUntil: MonotonicMillis;
  #isPutOff = false;

  /** `endsAt`: when what waits is refused; `breaksOffAt`: when what runs gets its answer, too. */
  constructor(
    startedAt: MonotonicMillis,
    readonly endsAt: MonotonicMillis,
    readonly breaksOffAt: MonotonicMillis = endsAt,
  ) {
    const partMillis = Math.min(MAX_EXPECTED_START_MILLIS, (endsAt - startedAt) * EXPECTED_START_SHARE);
    this.#startsByExpectationUntil = startedAt + partMillis;
  }

  /** When what runs is broken off instead, once, if that is noticed late: timers run before sockets are read; `null`: it isn't put off. */
  putOffEnd(now: MonotonicMillis): MonotonicMillis | null {
    if (this.#isPutOff || now <= this.breaksOffAt + LATE_END_MILLIS) {
      return null;
    }
    this.#isPutOff = true;
    return now + LATE_ANSWERS_MILLIS;
  }

  /** Whether what runs is left until later than now. */
  leavesRunning(now: MonotonicMillis): boolean {
    return now < this.breaksOffAt;
  }

  /** Whether nothing may wait any longer. */
  isOver(now: MonotonicMillis): boolean {
    return now >= this.endsAt;
  }

  /** Whether a request that is started now ends in time: surely, by its own limit; in the first part of the stop, as far as can be expected. */
  mayStart({ deadline, expectedMillis, isRepeatable }: StopCandidate, now: MonotonicMillis): boolean {
    if (deadline <= this.endsAt) {
      return true;
    }
    const neededMillis = expectedMillis * (isRepeatable ? 1 : UNREPEATABLE_FACTOR);
    return now < this.#startsByExpectationUntil && now + neededMillis <= this.endsAt;
  }
}
