/** Retry delays for rejected callers. They are always jittered, so that callers rejected together don't return together. */
import type { Random } from '../random.js';

/** Minimum retry delay. */
export const MIN_RETRY_MILLIS = 100;
/** Maximum retry delay. */
export const MAX_RETRY_MILLIS = 30_000;
const JITTER_SHARE = 0.25;

/** Used where nothing is measured, such as while an owner or a configuration is still missing. */
export const UNMEASURED_RETRY_MILLIS = 1000;

/** Jitters a wait in milliseconds upwards only, and without an upper bound, since nothing is served before it ends. */
export function retryAfterAtLeast(wait: number, random: Random): number {
  const boundedWait = Math.max(MIN_RETRY_MILLIS, wait);
  return Math.ceil(boundedWait * (1 + 2 * JITTER_SHARE * random.share()));
}

/** Bounds and jitters a wait in milliseconds. */
export function retryAfterMillis(wait: number, random: Random): number {
  const boundedWait = Math.min(MAX_RETRY_MILLIS, Math.max(MIN_RETRY_MILLIS, wait));
  return Math.round(random.jitter(boundedWait, JITTER_SHARE));
}
