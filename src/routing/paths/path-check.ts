/**
 * One check of the path to an upstream: first the path in use, then, if that doesn't work, others at the same time. Only what two places agree on
 * is the upstream's own fault.
 */
import type { RelayPeer } from '../../model/relay.js';
import { PATH_OUTCOMES, type PathOutcome } from './path-outcome.js';
import { spreadOverZones } from './relay-peer-table.js';

/** Peers asked at the same time, and how often others are asked. Silent ones take long; where most are blind, six of them are so too often. */
const PEERS_PER_ROUND = 3;
const MAX_ROUNDS = 4;
const MAX_SILENT_ROUNDS = 2;
/** Rounds of peers that are refused too, if this router isn't cut off and nobody is accused by the verdict. */
const MAX_QUICK_ROUNDS = 1;
/** Places that must find an upstream out of reach before that is its own fault. */
const PLACES_THAT_AGREE = 2;

/** A path: over a relay, or direct (`null`). */
export type Path = RelayPeer | null;

export type PathVerdict =
  /** The path in use works, so the upstream is only slow. */
  | { readonly type: 'works' }
  /** The path in use is lost, and another one reaches the upstream. */
  | { readonly type: 'other-path'; readonly path: Path; readonly evidence: PathOutcome }
  /** The upstream's address refuses connections over all paths. */
  | { readonly type: 'ended' }
  /** Nothing comes back over any path. */
  | { readonly type: 'unreachable' }
  /** No other path could be tried. */
  | { readonly type: 'unknown' };

/** What follows an outcome: paths to try next, or a verdict; neither while others are still being tried. */
export interface PathCheckStep {
  readonly tries: readonly Path[];
  readonly verdict: PathVerdict | null;
}

/** What a check has seen so far. */
export interface PathSightings {
  /** On the path in use; `null`: not tried yet. */
  readonly current: PathOutcome | null;
  /** On other paths that failed. */
  readonly others: readonly PathOutcome[];
}

/** What is known before a check. */
export interface PathTrust {
  /** Whether the first of the other paths reached an upstream a moment ago, so that it may be tried alone. */
  readonly isFirstSighted: boolean;
  /** Whether other upstreams like this one were found to be lost, so that the first of the other paths needs no try. */
  readonly isAssumedLost: () => boolean;
  /** Whether other upstreams are heard over their direct paths, so that this router isn't cut off from all. */
  readonly hasHeardOthers: () => boolean;
  /** Whether the upstream was found to have ended a moment ago, so that one peer is enough to see whether it is back. */
  readonly wasEnded: boolean;
}

const NO_TRUST: PathTrust = {
  isFirstSighted: false,
  isAssumedLost: () => false,
  hasHeardOthers: () => false,
  wasEnded: false,
};
const WAIT: PathCheckStep = { tries: [], verdict: null };

export class PathCheck {
  readonly #current: Path;
  /** Other paths that haven't been tried, best first. */
  #others: Path[];
  #seen: PathOutcome | null;
  #rounds = 0;
  #openTries = 0;
  #mustBeThorough = false;
  /** The path that reached the upstream, while the direct one is tried once more. */
  #found: Path = null;
  readonly #outcomes: PathOutcome[] = [];

  /**
   * `others`: other paths, best first. `seen`: what has just been seen on the path in use; `null`: it has to be tried first.
   */
  constructor(
    current: Path,
    others: readonly Path[],
    seen: PathOutcome | null,
    private readonly trust: PathTrust = NO_TRUST,
  ) {
    this.#current = current;
    this.#others = [...others];
    this.#seen = seen;
  }

  /** Whether as many peers were asked as may be. */
  get isThorough(): boolean {
    return this.#others.length === 0 || !this.#isQuick();
  }

  get sightings(): PathSightings {
    return { current: this.#seen, others: this.#outcomes };
  }

  /** From now on asks as many peers as may be, because the verdict may accuse a request. */
  makeThorough(): void {
    this.#mustBeThorough = true;
  }

  begin(): PathCheckStep {
    if (this.#seen !== null) {
      return this.#tryOthers();
    }
    this.#openTries = 1;
    return { tries: [this.#current], verdict: null };
  }

  /** Handles the outcome of a try. */
  tried(path: Path, outcome: PathOutcome): PathCheckStep {
    if (this.#found !== null) {
      return path === null ? this.#triedAgain(this.#found, outcome) : WAIT;
    }
    this.#openTries -= 1;
    if (this.#seen === null) {
      return this.#triedCurrent(outcome);
    }
    if (outcome === PATH_OUTCOMES.reached) {
      return this.#foundOther(path, this.#seen);
    }
    this.#outcomes.push(outcome);
    return this.#openTries > 0 ? WAIT : this.#tryOthers();
  }

  /** An address that refused may be served again by now, so the direct path is tried once more before it counts as lost. */
  #foundOther(path: Path, seen: PathOutcome): PathCheckStep {
    if (this.#current !== null || seen !== PATH_OUTCOMES.refused) {
      return { tries: [], verdict: { type: 'other-path', path, evidence: seen } };
    }
    this.#found = path;
    return { tries: [null], verdict: null };
  }

  #triedAgain(path: Path, outcome: PathOutcome): PathCheckStep {
    if (outcome === PATH_OUTCOMES.reached) {
      return { tries: [], verdict: { type: 'works' } };
    }
    return { tries: [], verdict: { type: 'other-path', path, evidence: PATH_OUTCOMES.refused } };
  }

  #triedCurrent(outcome: PathOutcome): PathCheckStep {
    if (outcome === PATH_OUTCOMES.reached || outcome === PATH_OUTCOMES.unknown) {
      return { tries: [], verdict: { type: 'works' } };
    }
    this.#seen = outcome;
    return this.#tryOthers();
  }

  #tryOthers(): PathCheckStep {
    const { isFirstSighted, isAssumedLost, wasEnded } = this.trust;
    const [first] = this.#others;
    if (isFirstSighted && first !== undefined && this.#rounds === 0 && isAssumedLost()) {
      const evidence = this.#seen ?? PATH_OUTCOMES.silent;
      return { tries: [], verdict: { type: 'other-path', path: first, evidence } };
    }
    const isAlone = (isFirstSighted || wasEnded) && this.#rounds === 0;
    const round = isAlone ? this.#others.slice(0, 1) : nextRound(this.#others);
    const tries = this.#rounds < this.#maxRounds() ? round : [];
    if (tries.length === 0) {
      return { tries: [], verdict: this.#verdict() };
    }
    this.#rounds += 1;
    this.#openTries = tries.length;
    this.#others = this.#others.filter((path) => !tries.includes(path));
    return { tries, verdict: null };
  }

  #maxRounds(): number {
    if (this.#outcomes.includes(PATH_OUTCOMES.silent)) {
      return MAX_SILENT_ROUNDS;
    }
    return this.#isQuick() ? MAX_QUICK_ROUNDS : MAX_ROUNDS;
  }

  #isQuick(): boolean {
    const isRefused = this.#outcomes.includes(PATH_OUTCOMES.refused);
    return isRefused && !this.#mustBeThorough && this.trust.hasHeardOthers();
  }

  #verdict(): PathVerdict {
    const sights = [this.#seen, ...this.#outcomes].filter(isSight);
    if (sights.length < PLACES_THAT_AGREE) {
      return { type: 'unknown' };
    }
    if (this.#outcomes.includes(PATH_OUTCOMES.refused)) {
      return { type: 'ended' };
    }
    return this.#outcomes.includes(PATH_OUTCOMES.silent) ? { type: 'unreachable' } : { type: 'unknown' };
  }
}

/** Whether an outcome tells of the upstream, and not of a relay or of this process. */
function isSight(outcome: PathOutcome | null): boolean {
  return outcome === PATH_OUTCOMES.refused || outcome === PATH_OUTCOMES.silent;
}

/** The direct path, if it is among the others, and a few peers of different zones. */
function nextRound(others: readonly Path[]): Path[] {
  const peers = others.filter((path): path is RelayPeer => path !== null);
  const direct = others.filter((path) => path === null);
  return [...direct, ...spreadOverZones(peers, PEERS_PER_ROUND)];
}
