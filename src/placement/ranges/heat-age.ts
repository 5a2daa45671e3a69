/**
 * How long the load of keys has been what it is, told from two averages of it over different times: no state of its own, so a new
 * leader knows it as soon as it knows the loads.
 */

/** One kind of load as two averages see it, in milliseconds of work a second. */
export interface SeenLoad {
  /** Over a short time. */
  readonly recent: number;
  /** Over a longer time. */
  readonly steady: number;
}

/** The longest age that the averages can tell: beyond it their difference is smaller than chance. */
export const LONGEST_HEAT_MILLIS = 8000;
/** Load that came within the shortest time that reports resolve counts as this old. */
const LEAST_HEAT_MILLIS = 250;
const STEP_MILLIS = 250;

/** Half-lives of the two averages. */
export interface HalfLives {
  readonly recentMillis: number;
  readonly steadyMillis: number;
}

/**
 * Age of a load that began at once and stayed. After a time t an average with the half-life h shows 1 - 2^(-t/h) of it, so the
 * ratio of the two grows with t alone.
 */
export function heatAgeMillis({ recent, steady }: SeenLoad, halfLives: HalfLives): number {
  if (recent <= 0) {
    return 0;
  }
  const ratio = steady / recent;
  for (let age = LEAST_HEAT_MILLIS; age < LONGEST_HEAT_MILLIS; age += STEP_MILLIS) {
    if (ratio <= shownAt(age, halfLives.steadyMillis) / shownAt(age, halfLives.recentMillis)) {
      return age;
    }
  }
  return LONGEST_HEAT_MILLIS;
}

function shownAt(ageMillis: number, halfLifeMillis: number): number {
  return 1 - 0.5 ** (ageMillis / halfLifeMillis);
}

/**
 * Time for which a load is expected to last. Where nothing is known of how long such loads last, a look at one comes at any part
 * of its life alike, so that as long again as it has lasted is the median of what is left.
 */
export function remainingMillis(ageMillis: number): number {
  return Math.min(LONGEST_HEAT_MILLIS, ageMillis);
}
