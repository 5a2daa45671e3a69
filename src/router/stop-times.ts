/** Times of a planned stop on the monotonic clock, from the time after which the process may be killed. */
import type { MonotonicMillis } from '../model/identifiers.js';

/** When the signal of a stop came: a process that was held up can't tell exactly. */
export interface StopSignal {
  /** When it may have come at the earliest. */
  readonly earliestAt: MonotonicMillis;
  readonly heardAt: MonotonicMillis;
}

export interface StopTimes {
  /** Until then requests may wait and start: it is in time also for a signal that came as early as it may have. */
  readonly answersAt: MonotonicMillis;
  /** Until then upstreams may work on what runs: it isn't too early for a signal that came as late as it was heard. */
  readonly breaksOffAt: MonotonicMillis;
  /** Until then callers may take their answers and close their connections. */
  readonly closesAt: MonotonicMillis;
}

/** Share of the grace time that is left for the last answers, and its upper bound. */
const MAX_LAST_ANSWERS_SHARE = 1 / 12;
const MAX_LAST_ANSWERS_MILLIS = 500;
/** Multiple of that time before the end of the grace time, before which nothing that runs is broken off. */
const MAX_BROKEN_OFF_SHARE = 2;
/** Part of the time of the last answers that is left for the end of the process. */
const EXIT_SHARE = 0.4;

export function stopTimesOf(stopGraceMillis: number, { earliestAt, heardAt }: StopSignal): StopTimes {
  const lastMillis = Math.min(MAX_LAST_ANSWERS_MILLIS, stopGraceMillis * MAX_LAST_ANSWERS_SHARE);
  const answersAt = earliestAt + stopGraceMillis - lastMillis;
  const breaksOffAt = Math.max(answersAt, heardAt + stopGraceMillis - MAX_BROKEN_OFF_SHARE * lastMillis);
  return { answersAt, breaksOffAt, closesAt: breaksOffAt + lastMillis * (1 - EXIT_SHARE) };
}
