/** Times of a planned stop, all since its beginning, from the time after which the process may be killed. */

export interface StopTimes {
  /** Until then upstreams may work on requests; then every request that was read is answered. */
  readonly answersMillis: number;
  /** Until then callers may take their answers and close their connections. */
  readonly closesMillis: number;
}

/** Share of the grace time that is left for the last answers, and its upper bound. */
const MAX_LAST_ANSWERS_SHARE = 1 / 12;
const MAX_LAST_ANSWERS_MILLIS = 500;
/** Part of the time of the last answers that is left for the end of the process. */
const EXIT_SHARE = 0.4;

export function stopTimesOf(stopGraceMillis: number): StopTimes {
  const lastMillis = Math.min(MAX_LAST_ANSWERS_MILLIS, stopGraceMillis * MAX_LAST_ANSWERS_SHARE);
  return {
    answersMillis: stopGraceMillis - lastMillis,
    closesMillis: stopGraceMillis - lastMillis * EXIT_SHARE,
  };
}
