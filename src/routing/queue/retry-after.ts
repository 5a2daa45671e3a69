/** How long a refused caller is told to wait. Always jittered, so that those refused together don't return together. */
import type { Random } from '../random.js';

/** Nobody is told to come back sooner. */
export const SHORTEST_MILLIS = 100;
/** Nor later. */
export const LONGEST_MILLIS = 30_000;
const JITTER_SHARE = 0.25;

/** Used where nothing is measured: an owner or a configuration is on its way. */
export const UNMEASURED_RETRY_MILLIS = 1000;

/** Spreads a wait, in milliseconds, before whose end nothing is served: nobody is told to come earlier, however long it is. */
export function retryAfterAtLeast(wait: number, random: Random): number {
  const least = Math.max(SHORTEST_MILLIS, wait);
  return Math.ceil(least * (1 + 2 * JITTER_SHARE * random.share()));
}

/** Bounds and jitters a wait in milliseconds. */
export function retryAfterMillis(wait: number, random: Random): number {
  const bounded = Math.min(LONGEST_MILLIS, Math.max(SHORTEST_MILLIS, wait));
  return Math.round(random.jitter(bounded, JITTER_SHARE));
}
