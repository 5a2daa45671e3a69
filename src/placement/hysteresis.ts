/** Derives from a service's weights how much imbalance is tolerated before shards are moved. */
import type { PlacementWeights } from '../model/service.js';

/** Tolerances above the target utilisation, as shares of it. */
export interface Tolerance {
  /** Relief of a server begins above this. */
  readonly begin: number;
  /** Relief of a server ends below this. */
  readonly end: number;
  /** Cooldown: a shard that was moved for balance doesn't move again within this time. */
  readonly restMillis: number;
}

/** Tolerance if churn and unavailability together weigh as much as imbalance. */
const EVEN_TOLERANCE = 0.1;
const MIN_TOLERANCE = 0.03;
const MAX_TOLERANCE = 0.5;
/** Relief ends at this share of the tolerance at which it begins. */
const END_SHARE = 0.5;
/** Cooldown of a moved shard if churn weighs as much as imbalance. */
const EVEN_COOLDOWN_MILLIS = 20_000;
const MIN_COOLDOWN_MILLIS = 5000;
const MAX_COOLDOWN_MILLIS = 60_000;

/** Returns `undefined` if imbalance has no weight, so that no shards are moved for balance. */
export function toleranceOf({ unavailability, imbalance, churn }: PlacementWeights): Tolerance | undefined {
  if (imbalance <= 0) {
    return undefined;
  }
  const cost = (unavailability + churn) / imbalance;
  const begin = clamp(EVEN_TOLERANCE * cost, MIN_TOLERANCE, MAX_TOLERANCE);
  const cooldown = (EVEN_COOLDOWN_MILLIS * churn) / imbalance;
  return {
    begin,
    end: begin * END_SHARE,
    restMillis: clamp(cooldown, MIN_COOLDOWN_MILLIS, MAX_COOLDOWN_MILLIS),
  };
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
