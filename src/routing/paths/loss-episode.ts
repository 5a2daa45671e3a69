/** The time after a path was found lost, in which the paths to other upstreams are checked too. */
import type { MonotonicMillis } from '../../model/identifiers.js';
import type { UpstreamState } from '../upstream/upstream-state.js';
import type { PathVerdict } from './path-check.js';

const EPISODE_MILLIS = 2000;
/** So many lost paths, and none that works, mean that all are lost. */
const LOST_PATHS = 3;
/** Nothing may have been heard for this long if all paths are lost. */
const QUIET_MILLIS = 200;

export class LossEpisode {
  readonly #candidates: readonly UpstreamState[];
  /** Number of candidates that were taken. */
  #taken = 0;
  readonly #endsAt: MonotonicMillis;
  #lost = 0;
  #working = 0;

  /** `candidates`: the upstreams to check, those first that matter most. */
  constructor(candidates: readonly UpstreamState[], now: MonotonicMillis) {
    this.#candidates = candidates;
    this.#endsAt = now + EPISODE_MILLIS;
  }

  isOver(now: MonotonicMillis): boolean {
    return now >= this.#endsAt;
  }

  record({ type }: PathVerdict): void {
    this.#lost += type === 'other-path' ? 1 : 0;
    this.#working += type === 'works' ? 1 : 0;
  }

  /** Whether all paths are lost, as far as can be told. */
  isAllLost(lastHeardAt: MonotonicMillis, now: MonotonicMillis): boolean {
    return this.#lost >= LOST_PATHS && this.#working === 0 && now - lastHeardAt >= QUIET_MILLIS;
  }

  takeNext(): UpstreamState | undefined {
    this.#taken += 1;
    return this.#candidates[this.#taken - 1];
  }

  takeAll(): readonly UpstreamState[] {
    const rest = this.#candidates.slice(this.#taken);
    this.#taken = this.#candidates.length;
    return rest;
  }
}
