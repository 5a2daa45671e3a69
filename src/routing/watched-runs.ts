/**
 * Determines whether upstream runs that left attempts unanswered have ended. A reset, a lost answer or silence proves nothing: a run has
 * ended when nothing listens at its address any more, or when another run is there. A refused connection counts as proof at once, since a
 * request that ends one run after the other must be stopped within three. But a device on the path can refuse connections to a run that is
 * alive, so the suspicions are retracted if that run answers again.
 */
import { deriveRunName, type RunName, type UpstreamCrash } from '../model/crash-suspect.js';
import type { Address, MonotonicMillis, UpstreamId } from '../model/identifiers.js';
import { announcedRun } from '../model/service.js';
import type { PathVerdict } from './paths/path-check.js';
import { PATH_OUTCOMES, type PathOutcome } from './paths/path-outcome.js';
import type { Attempt } from './request-group.js';
import type { RouterContext } from './router-context.js';
import type { RunCheck } from './types.js';
import type { UpstreamState } from './upstream/upstream-state.js';

/** An attempt that was lost longer than this before the end of its run is no evidence that its request caused the end. */
const MAX_LOSS_AGE_MILLIS = 5000;
/** Maximum number of watched runs, and of unanswered attempts kept per run. */
const MAX_RUNS = 256;
const MAX_LOSSES = 64;
/**
 * Delay between a broken connection and the check of its run. The result of the next attempt there often makes the check unnecessary;
 * a check briefly uses up a connection, which matters where connections are limited.
 */
const FIRST_CHECK_DELAY_MILLIS = 20;
/** Delay before another check: a process closes its connections one by one, possibly its listener last. */
const RECHECK_DELAY_MILLIS = 150;
const MAX_CHECKS = 3;

/** A request suspected of having ended a run. */
export type SuspectRequest = Pick<UpstreamCrash, 'fingerprint' | 'service'>;

/** Called for each request that was in flight and unanswered at a run that has ended. */
export type SuspectListener = (suspect: SuspectRequest, run: RunName) => void;

/** Proofs that a run has ended; a refused connection can turn out to be no proof. */
const END_PROOFS = { connectionRefused: 'connection-refused', otherRun: 'address-taken' } as const;

const CHECK_OF_VERDICT: Readonly<Record<PathVerdict['type'], RunCheck>> = {
  works: 'there',
  'other-path': 'there',
  ended: 'gone',
  unreachable: 'silent',
  unknown: 'silent',
};

/** An unanswered attempt. */
interface Loss {
  readonly suspect: SuspectRequest;
  /** Whether the router abandoned the attempt; the run may still be alive then. */
  readonly wasAbandoned: boolean;
  readonly at: MonotonicMillis;
}

interface WatchedRun {
  readonly name: RunName;
  readonly upstream: UpstreamId;
  readonly address: Address;
  losses: Loss[];
  /** Number of checks since the latest loss. */
  checks: number;
  /** Whether a check is scheduled or in progress. */
  isChecking: boolean;
  hasEnded: boolean;
  endedAt: MonotonicMillis;
  /** Requests suspected of the run's end; cleared if the run turns out to be alive. */
  suspects: SuspectRequest[];
}

export class WatchedRuns {
  readonly #context: RouterContext;
  readonly #onSuspect: SuspectListener;
  readonly #onRetracted: (suspect: SuspectRequest) => void;
  /** In order of insertion: the first is evicted first. */
  readonly #runs = new Map<RunName, WatchedRun>();

  /** `onRetracted` is called for each request that was suspected of the end of a run that turns out to be alive. */
  constructor(
    context: RouterContext,
    onSuspect: SuspectListener,
    onRetracted: (suspect: SuspectRequest) => void,
  ) {
    this.#context = context;
    this.#onSuspect = onSuspect;
    this.#onRetracted = onRetracted;
  }

  /** Called when the upstream's side closed the connection of an attempt. */
  recordBrokenConnection(attempt: Attempt): void {
    const run = this.#recordLoss(attempt, false);
    if (run !== null) {
      this.#scheduleCheck(run, FIRST_CHECK_DELAY_MILLIS);
    }
  }

  /** Called when an attempt ended unanswered for another reason. */
  recordUnanswered(attempt: Attempt, wasAbandoned: boolean): void {
    this.#recordLoss(attempt, wasAbandoned);
  }

  /** Called when a run answers. Attempts abandoned there, or lost there before this attempt started, didn't end it. */
  answered({ run, startedAt }: Attempt): void {
    const watched = run === null ? undefined : this.#runs.get(run);
    if (watched !== undefined && watched.losses.length > 0) {
      watched.losses = watched.losses.filter(({ wasAbandoned, at }) => !wasAbandoned && at > startedAt);
    }
  }

  /** Clears the suspects of a run that has served an attempt started after its supposed end, because the run is alive. */
  clearIfAlive({ run, startedAt }: Attempt): void {
    const watched = run === null ? undefined : this.#runs.get(run);
    if (watched?.hasEnded === true && startedAt > watched.endedAt) {
      this.#clear(watched);
    }
  }

  /** Called when a run is reached over another path: what was lost there was lost on the way, and accuses nobody. */
  reachedOtherwise(name: RunName): void {
    const watched = this.#runs.get(name);
    if (watched?.hasEnded === true) {
      this.#clear(watched);
    } else if (watched !== undefined) {
      watched.losses = [];
    }
  }

  #clear(watched: WatchedRun): void {
    const { name, address, suspects } = watched;
    Object.assign(watched, { hasEnded: false, losses: [], suspects: [], checks: 0 });
    const fields = { run: name, address, takenBack: suspects.length };
    this.#context.emit({ type: 'log', level: 'info', event: 'run-lives', fields });
    for (const suspect of suspects) {
      this.#onRetracted(suspect);
    }
  }

  /** Called when it is proved that a run has ended. */
  ended(name: RunName, proof: string): void {
    const run = this.#runs.get(name);
    if (run === undefined || run.hasEnded) {
      return;
    }
    run.hasEnded = true;
    run.endedAt = this.#context.now;
    const { now } = this.#context;
    const losses = run.losses.filter(({ at }) => now - at <= MAX_LOSS_AGE_MILLIS);
    const fields = { run: name, address: run.address, proof, unanswered: losses.length };
    this.#context.emit({ type: 'log', level: 'info', event: 'run-ended', fields });
    for (const { suspect } of losses) {
      this.#addSuspect(run, suspect);
    }
  }

  /** Called when a run is present at an address: any other run that was there has ended. */
  recordRunAt(address: Address, currentRun: RunName): void {
    for (const run of [...this.#runs.values()]) {
      if (run.address === address && run.name !== currentRun) {
        this.ended(run.name, END_PROOFS.otherRun);
      }
    }
  }

  /** Handles the I/O layer's result of a `check-run` effect. */
  recordCheck(name: RunName, check: RunCheck): void {
    const run = this.#runs.get(name);
    if (run === undefined) {
      return;
    }
    run.isChecking = false;
    if (check === 'gone') {
      this.ended(name, END_PROOFS.connectionRefused);
    } else {
      this.#scheduleCheck(run, RECHECK_DELAY_MILLIS);
    }
  }

  /** Checks a run, unless it has ended or no unanswered attempt is left to explain. */
  check(name: RunName): void {
    const run = this.#runs.get(name);
    if (run === undefined) {
      return;
    }
    run.isChecking = !run.hasEnded && run.losses.some(({ wasAbandoned }) => !wasAbandoned);
    if (run.isChecking) {
      run.checks += 1;
      this.#lookFor(run, null);
    }
  }

  /** Handles a refused connection to a run, which is no proof yet where other routers can be asked. */
  recordRefused(name: RunName): void {
    const run = this.#runs.get(name);
    if (run === undefined || run.hasEnded) {
      return;
    }
    if (this.#context.paths.peers.size === 0) {
      this.ended(name, END_PROOFS.connectionRefused);
    } else if (run.losses.length > 0) {
      this.#lookFor(run, PATH_OUTCOMES.refused);
    }
  }

  /** Where other routers can be asked, a refused connection proves an end only if they are refused too. */
  #lookFor(run: WatchedRun, seen: PathOutcome | null): void {
    const { upstreams, paths } = this.#context;
    const upstream = upstreams.get(run.upstream);
    const isCurrent = upstream !== undefined && runNameOf(upstream) === run.name;
    if (!isCurrent || paths.peers.size === 0) {
      this.#context.emit({ type: 'check-run', run: run.name, address: run.address });
      return;
    }
    const doubt = { seen, accuses: true };
    paths.judge(upstream, doubt, ({ type }) => this.recordCheck(run.name, CHECK_OF_VERDICT[type]));
  }

  /** Records a lost attempt and returns its run; `null` if the request isn't watched. */
  #recordLoss(attempt: Attempt, wasAbandoned: boolean): WatchedRun | null {
    const { request, group } = attempt;
    const { fingerprint } = request;
    if (fingerprint == null) {
      return null;
    }
    const run = this.#runOf(attempt);
    const suspect = { fingerprint, service: group.service.name };
    if (run.hasEnded) {
      this.#addSuspect(run, suspect);
      return run;
    }
    run.losses.push({ suspect, wasAbandoned, at: this.#context.now });
    run.checks = 0;
    if (run.losses.length > MAX_LOSSES) {
      run.losses.shift();
    }
    return run;
  }

  #addSuspect(run: WatchedRun, suspect: SuspectRequest): void {
    if (run.suspects.length < MAX_LOSSES) {
      run.suspects.push(suspect);
    }
    this.#onSuspect(suspect, run.name);
  }

  #runOf({ upstream, run }: Attempt): WatchedRun {
    const name = run ?? deriveRunName(upstream.id, this.#context.wall);
    const existing = this.#runs.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const { address } = upstream.record.definition;
    const created: WatchedRun = {
      name,
      upstream: upstream.id,
      address,
      losses: [],
      checks: 0,
      isChecking: false,
      hasEnded: false,
      endedAt: Number.NEGATIVE_INFINITY,
      suspects: [],
    };
    this.#runs.set(name, created);
    if (this.#runs.size > MAX_RUNS) {
      const [oldest] = this.#runs.keys();
      this.#runs.delete(oldest as RunName);
    }
    return created;
  }

  #scheduleCheck(run: WatchedRun, delayMillis: number): void {
    if (!run.isChecking && !run.hasEnded && run.checks < MAX_CHECKS) {
      run.isChecking = true;
      this.#context.schedule(this.#context.now + delayMillis, { type: 'run-check', run: run.name });
    }
  }
}

/** Source of the notices in an answer: the run, or the upstream if its runs have no names. */
export function noticeSourceOf(upstream: UpstreamId, run: RunName | null): RunName {
  return run ?? upstream;
}

/** Name of an upstream's current run; `null` if the run has no name of its own. */
export function runNameOf({ id, incarnation, isAnnounced, record }: UpstreamState): RunName | null {
  if (isAnnounced) {
    return announcedRun(record.definition);
  }
  return incarnation === null ? null : `${id}/${incarnation}`;
}
