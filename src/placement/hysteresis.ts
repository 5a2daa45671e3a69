/** How much imbalance a service's weights let stand before shards are moved. */
import type { PlacementWeights } from '../model/service.js';

/** Tolerances of load above the level that is aimed at, as shares of it. */
export interface Tolerance {
  /** A server is relieved once it is above this. */
  readonly begin: number;
  /** It is relieved until it is below this. */
  readonly end: number;
  /** A shard that was moved for balance stays for this long. */
  readonly restMillis: number;
}

/** Tolerance when churn and unavailability together weigh as much as imbalance. */
const EVEN_TOLERANCE = 0.1;
const LEAST_TOLERANCE = 0.03;
const GREATEST_TOLERANCE = 0.5;
/** Relief ends at this share of the tolerance at which it began. */
const END_SHARE = 0.5;
/** Rest of a moved shard when churn weighs as much as imbalance. */
const EVEN_REST_MILLIS = 20_000;
const LEAST_REST_MILLIS = 5000;
const GREATEST_REST_MILLIS = 60_000;

/** `undefined`: imbalance weighs nothing, so nothing is moved for its sake. */
export function toleranceOf({ unavailability, imbalance, churn }: PlacementWeights): Tolerance | undefined {
  if (imbalance <= 0) {
    return undefined;
  }
  const cost = (unavailability + churn) / imbalance;
  const begin = clamp(EVEN_TOLERANCE * cost, LEAST_TOLERANCE, GREATEST_TOLERANCE);
  const rest = (EVEN_REST_MILLIS * churn) / imbalance;
  return {
    begin,
    end: begin * END_SHARE,
    restMillis: clamp(rest, LEAST_REST_MILLIS, GREATEST_REST_MILLIS),
  };
}

function clamp(value: number, least: number, greatest: number): number {
  return Math.min(greatest, Math.max(least, value));
}
