/** The upstreams that are reached through other routers: tries their direct paths again, one at a time, and all of them once one works. */
import type { MonotonicMillis } from '../../model/identifiers.js';
import type { UpstreamState } from '../upstream/upstream-state.js';
import { PATH_OUTCOMES, type PathOutcome } from './path-outcome.js';
import type { PathTries } from './path-tries.js';

const RETURN_INTERVAL_MILLIS = 200;
/** Direct paths that are tried at the same time once one works again. */
const MAX_TRIES = 32;

export interface DirectReturnsParts {
  readonly now: () => MonotonicMillis;
  readonly schedule: (at: MonotonicMillis) => void;
  readonly tries: PathTries;
  /** Called with the outcome of each try. */
  readonly tried: (upstream: UpstreamState, outcome: PathOutcome) => void;
}

export class DirectReturns {
  readonly #parts: DirectReturnsParts;
  /** In the order in which their direct paths are tried. */
  readonly #relayed = new Set<UpstreamState>();
  readonly #trying = new Set<UpstreamState>();
  #isScheduled = false;

  constructor(parts: DirectReturnsParts) {
    this.#parts = parts;
  }

  get relayed(): ReadonlySet<UpstreamState> {
    return this.#relayed;
  }

  add(upstream: UpstreamState): void {
    this.#relayed.add(upstream);
    this.#schedule();
  }

  delete(upstream: UpstreamState): void {
    this.#relayed.delete(upstream);
    this.#trying.delete(upstream);
  }

  /** Tries the next direct path. */
  onTimer(): void {
    this.#isScheduled = false;
    const [next] = this.#due();
    if (next !== undefined) {
      // To the end of the order, so that each has its turn.
      this.#relayed.delete(next);
      this.#relayed.add(next);
      this.#try(next);
    }
    this.#schedule();
  }

  /** Tries further direct paths, because one works again. */
  tryOthers(): void {
    for (const upstream of this.#due()) {
      if (this.#trying.size >= MAX_TRIES) {
        return;
      }
      this.#try(upstream);
    }
  }

  #due(): UpstreamState[] {
    const now = this.#parts.now();
    return [...this.#relayed].filter(
      (upstream) => upstream.path.mayReturn(now) && !this.#trying.has(upstream),
    );
  }

  #try(upstream: UpstreamState): void {
    this.#trying.add(upstream);
    this.#parts.tries.begin(upstream, null, (outcome) => {
      const isWanted = this.#trying.delete(upstream) && upstream.path.relay !== null;
      if (isWanted && outcome !== PATH_OUTCOMES.unknown) {
        this.#parts.tried(upstream, outcome);
      }
    });
  }

  #schedule(): void {
    if (!this.#isScheduled && this.#relayed.size > 0) {
      this.#isScheduled = true;
      this.#parts.schedule(this.#parts.now() + RETURN_INTERVAL_MILLIS);
    }
  }
}
