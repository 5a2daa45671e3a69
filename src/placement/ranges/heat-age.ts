/**
 * Estimates for how long keys have had their present load ("heat") from two averages with different half-lives. The estimate
 * keeps no state of its own, so a new leader has it as soon as it has the loads.
 */

/** The same load in two averages, in milliseconds of work per second. */
export interface LoadInAverages {
  /** Average with the short half-life. */
  readonly recent: number;
  /** Average with the long half-life. */
  readonly steady: number;
}

/** Maximum age that the averages can resolve: beyond it, their difference is smaller than random variation. */
export const MAX_HEAT_MILLIS = 8000;
/** Minimum age: reports don't resolve a shorter time. */
const MIN_HEAT_MILLIS = 250;
const AGE_STEP_MILLIS = 250;

/** Half-lives of the two averages. */
export interface HalfLives {
  readonly recentMillis: number;
  readonly steadyMillis: number;
}

/**
 * Returns the age of a load, assuming that it began as a step and stayed constant. After a time t, an average with the
 * half-life h has reached 1 - 2^(-t/h) of it, so the ratio of the two averages depends on t alone and grows with it.
 */
export function heatAgeMillis({ recent, steady }: LoadInAverages, halfLives: HalfLives): number {
  if (recent <= 0) {
    return 0;
  }
  const ratio = steady / recent;
  for (let age = MIN_HEAT_MILLIS; age < MAX_HEAT_MILLIS; age += AGE_STEP_MILLIS) {
    if (ratio <= reachedShare(age, halfLives.steadyMillis) / reachedShare(age, halfLives.recentMillis)) {
      return age;
    }
  }
  return MAX_HEAT_MILLIS;
}

function reachedShare(ageMillis: number, halfLifeMillis: number): number {
  return 1 - 0.5 ** (ageMillis / halfLifeMillis);
}

/**
 * Returns the time for which a load is expected to last. The distribution of lifetimes is unknown, so an observation is
 * equally likely at any point of a load's lifetime, and the median of the remaining time equals the age.
 */
export function remainingMillis(ageMillis: number): number {
  return Math.min(MAX_HEAT_MILLIS, ageMillis);
}
