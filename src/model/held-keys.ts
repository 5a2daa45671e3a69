/** Key ranges of an upstream as carried by heartbeats and their responses. */
import type { Epoch } from './identifiers.js';
import { covers, type KeySpan, overlaps } from './key-range.js';

/** Keys that an upstream holds or still serves, with their fencing token. */
export interface HeldSpan extends KeySpan {
  readonly fence: Epoch;
}

/** Keys that an upstream released since its last acknowledged heartbeat. */
export interface ReleasedSpan extends KeySpan {
  /** Handover data for the next owner; `null` if there is none. */
  readonly handover: string | null;
}

/** Key ranges reported by one heartbeat. */
export interface HeldKeys {
  /** Increases with each heartbeat of a run, so that a late one is detected. */
  readonly sequence: number;
  /** `null` if the heartbeat doesn't report held keys; the upstream may still hold some. */
  readonly held: readonly HeldSpan[] | null;
  readonly released: readonly ReleasedSpan[];
}

/** Keys that an upstream is to hold. */
export interface GrantedSpan extends HeldSpan {
  /** Handover data of the previous owner; `null` if there is none. */
  readonly handover: string | null;
}

/** All spans that the upstream is to hold, from a heartbeat response. The upstream releases everything else. */
export interface GrantedKeys {
  readonly spans: readonly GrantedSpan[];
  /** Measured from the time the upstream sent its heartbeat. */
  readonly holdMillis: number;
}

/** Whether a heartbeat reports keys. One that doesn't may come from any sender that has the upstream's id. */
export function isKeyReport({ held, released }: HeldKeys): boolean {
  return held !== null || released.length > 0;
}

/**
 * Whether a heartbeat confirms that its upstream holds none of these keys. An upstream that holds nothing may omit `held`; the keys
 * must then be listed as released.
 */
export function hasReleased({ held, released }: HeldKeys, span: KeySpan): boolean {
  return held === null ? covers(released, span) : !held.some((row) => overlaps(row, span));
}
