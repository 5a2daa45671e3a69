/** The checks of paths that are under way, one for each upstream at most: has their paths tried and tells who waits for their verdicts. */
import type { MonotonicMillis, UpstreamId } from '../../model/identifiers.js';
import type { UpstreamState } from '../upstream/upstream-state.js';
import type { Path, PathCheck, PathCheckStep, PathVerdict } from './path-check.js';
import type { PathOutcome } from './path-outcome.js';
import type { PathTries } from './path-tries.js';

export type VerdictListener = (verdict: PathVerdict) => void;

export interface RunningCheck {
  readonly upstream: UpstreamState;
  readonly check: PathCheck;
  readonly startedAt: MonotonicMillis;
  readonly listeners: VerdictListener[];
}

export interface RunningChecksParts {
  readonly tries: PathTries;
  /** Called with the outcome of each try, also when its check is over. */
  readonly tried: (upstream: UpstreamState, path: Path, outcome: PathOutcome) => void;
  /** Called with each verdict, before those who wait for it. */
  readonly concluded: (running: RunningCheck, verdict: PathVerdict) => void;
}

export class RunningChecks {
  readonly #parts: RunningChecksParts;
  readonly #checks = new Map<UpstreamId, RunningCheck>();

  constructor(parts: RunningChecksParts) {
    this.#parts = parts;
  }

  get size(): number {
    return this.#checks.size;
  }

  has(upstream: UpstreamId): boolean {
    return this.#checks.has(upstream);
  }

  /** Waits for the verdict of the check of an upstream; returns `false` if none is under way. */
  join(upstream: UpstreamId, isThorough: boolean, listener: VerdictListener): boolean {
    const running = this.#checks.get(upstream);
    if (running === undefined) {
      return false;
    }
    running.listeners.push(listener);
    if (isThorough) {
      running.check.makeThorough();
    }
    return true;
  }

  begin(running: RunningCheck): void {
    this.#checks.set(running.upstream.id, running);
    this.#follow(running, running.check.begin());
  }

  /** Ends the check of an upstream that is gone. */
  cancel(upstream: UpstreamState): void {
    const running = this.#checks.get(upstream.id);
    if (running?.upstream === upstream) {
      this.#checks.delete(upstream.id);
      tell(running, { type: 'unknown' });
    }
  }

  #follow(running: RunningCheck, { tries, verdict }: PathCheckStep): void {
    const { upstream } = running;
    for (const path of tries) {
      this.#parts.tries.begin(upstream, path, (outcome) => this.#tried(running, path, outcome));
    }
    if (verdict !== null) {
      this.#checks.delete(upstream.id);
      this.#parts.concluded(running, verdict);
      tell(running, verdict);
    }
  }

  #tried(running: RunningCheck, path: Path, outcome: PathOutcome): void {
    const { upstream, check } = running;
    this.#parts.tried(upstream, path, outcome);
    if (this.#checks.get(upstream.id) === running) {
      this.#follow(running, check.tried(path, outcome));
    }
  }
}

function tell({ listeners }: RunningCheck, verdict: PathVerdict): void {
  for (const listener of listeners) {
    listener(verdict);
  }
}
