/** The time after an upstream was found to be out of direct reach, in which the paths to others are checked too. */
import type { MonotonicMillis } from '../../model/identifiers.js';
import type { UpstreamState } from '../upstream/upstream-state.js';
import type { PathVerdict } from './path-check.js';

const EPISODE_MILLIS = 2000;
/** So many paths that don't work, and none that does, mean that none does. */
const FAILED_PATHS = 3;
/** Nothing may have been heard for this long if no path works. */
const QUIET_MILLIS = 200;
/** So many paths in a row that work mean that the others do too. Each check costs an upstream a connection. */
const WORKING_IN_A_ROW = 5;

export class LossEpisode {
  readonly #candidates: readonly UpstreamState[];
  readonly #endsAt: MonotonicMillis;
  /** Number of candidates that were taken. */
  #taken = 0;
  #lost = 0;
  #unreachable = 0;
  #working = 0;
  #workingInARow = 0;

  /** `candidates`: the upstreams to check, in this order. */
  constructor(candidates: readonly UpstreamState[], now: MonotonicMillis) {
    this.#candidates = candidates;
    this.#endsAt = now + EPISODE_MILLIS;
  }

  isOver(now: MonotonicMillis): boolean {
    return now >= this.#endsAt;
  }

  record({ type }: PathVerdict): void {
    this.#lost += type === 'other-path' ? 1 : 0;
    this.#unreachable += type === 'unreachable' ? 1 : 0;
    this.#working += type === 'works' ? 1 : 0;
    this.#workingInARow = type === 'works' ? this.#workingInARow + 1 : 0;
  }

  /** What all upstreams that weren't checked are, as far as can be told; `null`: it can't. */
  common(lastHeardAt: MonotonicMillis, now: MonotonicMillis): 'other-path' | 'unreachable' | null {
    if (this.#working > 0 || now - lastHeardAt < QUIET_MILLIS) {
      return null;
    }
    if (this.#lost >= FAILED_PATHS) {
      return 'other-path';
    }
    return this.#unreachable >= FAILED_PATHS && this.#lost === 0 ? 'unreachable' : null;
  }

  takeNext(): UpstreamState | undefined {
    if (this.#workingInARow >= WORKING_IN_A_ROW) {
      return undefined;
    }
    this.#taken += 1;
    return this.#candidates[this.#taken - 1];
  }

  takeAll(): readonly UpstreamState[] {
    const rest = this.#candidates.slice(this.#taken);
    this.#taken = this.#candidates.length;
    return rest;
  }
}
