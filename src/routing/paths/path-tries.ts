/** The tries of paths that are under way: numbers them and hands each outcome to whoever asked for it. */
import type { RouterEffect } from '../types.js';
import type { UpstreamState } from '../upstream/upstream-state.js';
import type { Path } from './path-check.js';
import type { PathOutcome } from './path-outcome.js';

/** Number of one try of a path within one run of a router. */
export type PathTryNumber = number;

export class PathTries {
  readonly #emit: (effect: RouterEffect) => void;
  readonly #open = new Map<PathTryNumber, (outcome: PathOutcome) => void>();
  #latest: PathTryNumber = 0;

  constructor(emit: (effect: RouterEffect) => void) {
    this.#emit = emit;
  }

  /** Calls `done` once the I/O layer has reported the outcome. */
  begin({ id, record }: UpstreamState, path: Path, done: (outcome: PathOutcome) => void): void {
    this.#latest += 1;
    this.#open.set(this.#latest, done);
    const { address } = record.definition;
    this.#emit({ type: 'try-path', number: this.#latest, upstream: id, address, via: path });
  }

  end(number: PathTryNumber, outcome: PathOutcome): void {
    const done = this.#open.get(number);
    this.#open.delete(number);
    done?.(outcome);
  }
}
