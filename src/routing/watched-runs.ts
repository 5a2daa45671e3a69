/**
 * Runs of upstreams that left attempts without an answer, and whether they have ended. A reset, a lost answer or silence proves nothing:
 * a run has ended when nothing listens at its address any more, or when another run is there. The first is believed at once, since a request
 * that ends one run after the other must be stopped within three, but a device on the way can refuse in the name of a run that lives: once
 * that run answers again, whoever was accused of its end is cleared.
 */
import { nameUnnamedRun, type RunName, type UpstreamCrash } from '../model/crash-suspect.js';
import type { Address, MonotonicMillis, UpstreamId } from '../model/identifiers.js';
import { runOfAnnounced } from '../model/service.js';
import type { RouterContext } from './router-context.js';
import type { RunCheck } from './types.js';
import type { UpstreamState } from './upstream/upstream-state.js';
import type { Attempt } from './work.js';

/** An attempt that ended longer before its run is no sign that the request ended it. */
const LOSS_MEMORY_MILLIS = 5000;
/** Runs of which something is remembered, and unanswered attempts of one run. */
const MOST_RUNS = 256;
const MOST_LOSSES = 64;
/**
 * How long after a connection broke its run is looked at. Meanwhile the next attempt there often tells, and the connection for looking,
 * which takes a slot for a moment where connections are dear, isn't needed.
 */
const CHECK_AFTER_MILLIS = 20;
/** A process closes its connections one by one, and its listener maybe last: one that is there is looked at again. */
const CHECK_AGAIN_MILLIS = 150;
const MOST_CHECKS = 3;

/** What a request is accused of once the run has a name and has ended. */
export type Accusation = Pick<UpstreamCrash, 'fingerprint' | 'service'>;

/** Told of each request that was under way and unanswered at a run that has ended. */
export type AccuseRequest = (accusation: Accusation, run: RunName) => void;

/** Proofs of an end; the first can turn out to be wrong. */
const END_PROOFS = { connectionRefused: 'connection-refused', addressTaken: 'address-taken' } as const;

/** An attempt that got no answer. */
interface Loss {
  readonly accusation: Accusation;
  /** The router gave it up; the run may well have gone on. */
  readonly wasGivenUp: boolean;
  readonly at: MonotonicMillis;
}

interface WatchedRun {
  readonly name: RunName;
  readonly address: Address;
  losses: Loss[];
  /** Looks since the latest loss. */
  checks: number;
  /** A look is due or under way. */
  isChecking: boolean;
  hasEnded: boolean;
  endedAt: MonotonicMillis;
  /** Those who were accused of an end that may turn out to be none. */
  accused: Accusation[];
}

export class WatchedRuns {
  readonly #context: RouterContext;
  readonly #accuse: AccuseRequest;
  readonly #takeBack: (accusation: Accusation) => void;
  /** The longest watched first. */
  readonly #runs = new Map<RunName, WatchedRun>();

  /** `takeBack`: told of each request that was accused of an end that was none. */
  constructor(context: RouterContext, accuse: AccuseRequest, takeBack: (accusation: Accusation) => void) {
    this.#context = context;
    this.#accuse = accuse;
    this.#takeBack = takeBack;
  }

  /** The upstream's side ended the connection of an attempt. */
  connectionBroke(attempt: Attempt): void {
    const run = this.#lose(attempt, false);
    if (run !== null) {
      this.#checkAfter(run, CHECK_AFTER_MILLIS);
    }
  }

  /** An attempt ended for another reason before it was answered. */
  leftUnanswered(attempt: Attempt, wasGivenUp: boolean): void {
    this.#lose(attempt, wasGivenUp);
  }

  /** A run that answers hasn't ended under what was given up there, nor under what was lost there before this attempt began. */
  answered({ run, startedAt }: Attempt): void {
    const watched = run === null ? undefined : this.#runs.get(run);
    if (watched !== undefined && watched.losses.length > 0) {
      watched.losses = watched.losses.filter(({ wasGivenUp, at }) => !wasGivenUp && at > startedAt);
    }
  }

  /** A run that did work for an attempt that began after its end hasn't ended. */
  livesOn({ run, startedAt }: Attempt): void {
    const watched = run === null ? undefined : this.#runs.get(run);
    if (watched === undefined || !watched.hasEnded || startedAt <= watched.endedAt) {
      return;
    }
    const { name, address, accused } = watched;
    Object.assign(watched, { hasEnded: false, losses: [], accused: [], checks: 0 });
    const fields = { run: name, address, takenBack: accused.length };
    this.#context.emit({ type: 'log', level: 'info', event: 'run-lives', fields });
    for (const accusation of accused) {
      this.#takeBack(accusation);
    }
  }

  /** It is proved that a run has ended. */
  ended(name: RunName, proof: string): void {
    const run = this.#runs.get(name);
    if (run === undefined || run.hasEnded) {
      return;
    }
    run.hasEnded = true;
    run.endedAt = this.#context.now;
    const { now } = this.#context;
    const losses = run.losses.filter(({ at }) => now - at <= LOSS_MEMORY_MILLIS);
    const fields = { run: name, address: run.address, proof, unanswered: losses.length };
    this.#context.emit({ type: 'log', level: 'info', event: 'run-ended', fields });
    for (const { accusation } of losses) {
      this.#accuseOf(run, accusation);
    }
  }

  /** A run is at this address now: any other one that was there has ended. */
  addressTaken(address: Address, by: RunName): void {
    for (const run of [...this.#runs.values()]) {
      if (run.address === address && run.name !== by) {
        this.ended(run.name, END_PROOFS.addressTaken);
      }
    }
  }

  /** The shell looked whether anything takes connections at a run's address. */
  checked(name: RunName, check: RunCheck): void {
    const run = this.#runs.get(name);
    if (run === undefined) {
      return;
    }
    run.isChecking = false;
    if (check === 'gone') {
      this.ended(name, END_PROOFS.connectionRefused);
    } else {
      this.#checkAfter(run, CHECK_AGAIN_MILLIS);
    }
  }

  /** Time to look at a run, unless it is known by now what became of it. */
  check(name: RunName): void {
    const run = this.#runs.get(name);
    if (run === undefined) {
      return;
    }
    run.isChecking = !run.hasEnded && run.losses.some(({ wasGivenUp }) => !wasGivenUp);
    if (run.isChecking) {
      run.checks += 1;
      this.#context.emit({ type: 'check-run', run: run.name, address: run.address });
    }
  }

  /** Gives the run; `null`: the request isn't watched. */
  #lose(attempt: Attempt, wasGivenUp: boolean): WatchedRun | null {
    const { request, work } = attempt;
    const { fingerprint } = request;
    if (fingerprint == null) {
      return null;
    }
    const run = this.#runOf(attempt);
    const accusation = { fingerprint, service: work.service.name };
    if (run.hasEnded) {
      this.#accuseOf(run, accusation);
      return run;
    }
    run.losses.push({ accusation, wasGivenUp, at: this.#context.now });
    run.checks = 0;
    if (run.losses.length > MOST_LOSSES) {
      run.losses.shift();
    }
    return run;
  }

  #accuseOf(run: WatchedRun, accusation: Accusation): void {
    if (run.accused.length < MOST_LOSSES) {
      run.accused.push(accusation);
    }
    this.#accuse(accusation, run.name);
  }

  #runOf({ upstream, run }: Attempt): WatchedRun {
    const name = run ?? nameUnnamedRun(upstream.id, this.#context.wall);
    const known = this.#runs.get(name);
    if (known !== undefined) {
      return known;
    }
    const { address } = upstream.record.definition;
    const made: WatchedRun = {
      name,
      address,
      losses: [],
      checks: 0,
      isChecking: false,
      hasEnded: false,
      endedAt: Number.NEGATIVE_INFINITY,
      accused: [],
    };
    this.#runs.set(name, made);
    if (this.#runs.size > MOST_RUNS) {
      const [oldest] = this.#runs.keys();
      this.#runs.delete(oldest as RunName);
    }
    return made;
  }

  #checkAfter(run: WatchedRun, millis: number): void {
    if (!run.isChecking && !run.hasEnded && run.checks < MOST_CHECKS) {
      run.isChecking = true;
      this.#context.schedule(this.#context.now + millis, { type: 'run-check', run: run.name });
    }
  }
}

/** Whose words an answer carries: a run's, or those of whoever answers for an upstream whose runs have no names. */
export function speakerOf(upstream: UpstreamId, run: RunName | null): RunName {
  return run ?? upstream;
}

/** Name of the run that an upstream is at; `null`: it is known by its upstream alone. */
export function runNameOf({ id, incarnation, isAnnounced, record }: UpstreamState): RunName | null {
  if (isAnnounced) {
    return runOfAnnounced(record.definition);
  }
  return incarnation === null ? null : `${id}/${incarnation}`;
}
