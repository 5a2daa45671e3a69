/**
 * Requests under which upstreams end. An attempt that was left without an answer accuses its request once it is proved that the run
 * which worked on it has ended; a lost answer or a mere reset accuses nobody. Control counts over all routers, and what
 * it holds comes back with the configuration. Until then this router counts its own accusations on top, so that it need not be in
 * touch with anybody to stop.
 */
import type { CrashSuspect, RequestFingerprint, RunName, UpstreamCrash } from '../model/crash-suspect.js';
import { DEFAULT_QUARANTINE_TERMS, nameUnnamedRun } from '../model/crash-suspect.js';
import type { Address, MonotonicMillis, Revision } from '../model/identifiers.js';
import { isBrokenByUpstream } from './connection-break.js';
import { retryAfterMillis } from './retry-after.js';
import type { RouterContext } from './router-context.js';
import type { AttemptResult, RunCheck } from './types.js';
import type { UpstreamState } from './upstream-state.js';
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
/** Accusations that control hasn't taken are told again after this; the way there, a commit and the news take some 100 ms. */
const TELL_AGAIN_MILLIS = 250;
/** Accusations and clearances in one report, and held at once. */
const MOST_TOLD = 64;
const MOST_HELD = 1000;
const FIRST_SERVER_ERROR = 500;

/** One run of an upstream that left an attempt without an answer. */
interface WatchedRun {
  readonly name: RunName;
  readonly address: Address;
  losses: Loss[];
  checks: number;
  isChecking: boolean;
  hasEnded: boolean;
}

interface Loss {
  /** The router gave it up; the run may well have gone on. */
  readonly wasGivenUp: boolean;
  readonly crash: Omit<UpstreamCrash, 'run' | 'reporter'>;
  readonly at: number;
}

export class CrashWatch {
  readonly #context: RouterContext;
  /** The longest watched first. */
  readonly #runs = new Map<RunName, WatchedRun>();
  /** Accusations by request and run that control hasn't shown yet. */
  readonly #accusations = new Map<RequestFingerprint, Map<RunName, UpstreamCrash>>();
  /** Suspects that succeeded here, and the revision at which control showed them then. */
  readonly #cleared = new Map<RequestFingerprint, Revision>();
  /** Requests that this router may send once more from a time on; `null`: it has. */
  readonly #trials = new Map<RequestFingerprint, MonotonicMillis | null>();
  #isTelling = false;
  /** A request is refused now that wasn't before. */
  #hasNews = false;

  constructor(context: RouterContext) {
    this.#context = context;
  }

  /** Whether a request may not be sent to any upstream. */
  isQuarantined(fingerprint: RequestFingerprint | null | undefined): boolean {
    if (fingerprint == null || (this.#accusations.size === 0 && this.#context.view.suspectCount === 0)) {
      return false;
    }
    const known = this.#context.view.suspect(fingerprint);
    const own = this.#accusations.get(fingerprint)?.size ?? 0;
    const needed = known?.needed ?? DEFAULT_QUARANTINE_TERMS.crashes;
    return known?.quarantinedAt != null || (known?.crashes ?? 0) + own >= needed;
  }

  /** Whether a request is refused now: it is quarantined, and its trial isn't due here. */
  isRefused(fingerprint: RequestFingerprint | null | undefined): boolean {
    return this.isQuarantined(fingerprint) && !this.#isTrialDue(fingerprint as RequestFingerprint);
  }

  /** As `isRefused`, for a request that is sent at once if it isn't: its trial is over with that. */
  isRefusedAtDispatch(fingerprint: RequestFingerprint | null | undefined): boolean {
    if (!this.isQuarantined(fingerprint)) {
      return false;
    }
    if (!this.#isTrialDue(fingerprint as RequestFingerprint)) {
      return true;
    }
    this.#trials.set(fingerprint as RequestFingerprint, null);
    this.#log('info', 'quarantine-trial', { fingerprint });
    return false;
  }

  /** When to come again, in milliseconds: when the quarantine is over. */
  retryAfter(fingerprint: RequestFingerprint): number {
    const { view, wall, random } = this.#context;
    const until = view.suspect(fingerprint)?.until;
    const left = until === undefined ? DEFAULT_QUARANTINE_TERMS.keepMillis : until - wall;
    return left > 0 ? Math.ceil(left) : retryAfterMillis(0, random);
  }

  /** Gives once whether a request is refused now that may be waiting. */
  takeNews(): boolean {
    const hadNews = this.#hasNews;
    this.#hasNews = false;
    return hadNews;
  }

  /** Notes what the end of an attempt says about its request. */
  take(attempt: Attempt, result: AttemptResult): void {
    switch (result.type) {
      case 'answered':
        this.#noteAlive(attempt);
        if (result.status < FIRST_SERVER_ERROR) {
          this.#clear(attempt.fingerprint);
        }
        return;
      case 'refused':
        this.#noteAlive(attempt);
        return;
      case 'broken':
        this.#lose(attempt, false);
        if (isBrokenByUpstream(result.how)) {
          this.#checkAfter(this.#runOf(attempt), CHECK_AFTER_MILLIS);
        }
        return;
      case 'cancelled':
        this.#lose(attempt, true);
        return;
      case 'connect-failed':
        this.#returnTrial(attempt.fingerprint);
        if (result.refused === true && attempt.run !== null) {
          this.runEnded(attempt.run, 'connection-refused');
        }
    }
  }

  /** It is proved that a run has ended. */
  runEnded(name: RunName, proof: string): void {
    const run = this.#runs.get(name);
    if (run === undefined || run.hasEnded) {
      return;
    }
    run.hasEnded = true;
    const losses = run.losses.filter(({ at }) => this.#context.now - at <= LOSS_MEMORY_MILLIS);
    this.#log('info', 'run-ended', { run: name, address: run.address, proof, unanswered: losses.length });
    for (const { crash } of losses) {
      this.#accuse(crash, name);
    }
  }

  /** A run is at this address now: any other one that was there has ended. */
  addressTaken(address: Address, by: RunName): void {
    for (const run of [...this.#runs.values()]) {
      if (run.address === address && run.name !== by) {
        this.runEnded(run.name, 'address-taken');
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
      this.runEnded(name, 'connection-refused');
    } else {
      this.#checkAfter(run, CHECK_AGAIN_MILLIS);
    }
  }

  /** Time to look at a run, unless it is known by now what became of it. */
  checkAgain(name: RunName): void {
    const run = this.#runs.get(name);
    if (run === undefined) {
      return;
    }
    run.isChecking = false;
    if (!run.hasEnded && run.losses.some(({ wasGivenUp }) => !wasGivenUp)) {
      run.isChecking = true;
      run.checks += 1;
      this.#context.emit({ type: 'check-run', run: run.name, address: run.address });
    }
  }

  /** What control holds of a suspect has changed. */
  suspectChanged(fingerprint: RequestFingerprint, record: CrashSuspect | null): void {
    const own = this.#accusations.get(fingerprint);
    for (const run of own?.keys() ?? []) {
      if (record === null || record.runs.includes(run)) {
        own?.delete(run);
      }
    }
    if (own?.size === 0) {
      this.#accusations.delete(fingerprint);
    }
    if (record === null) {
      this.#cleared.delete(fingerprint);
      this.#trials.delete(fingerprint);
      return;
    }
    if (record.revision > (this.#cleared.get(fingerprint) ?? Number.POSITIVE_INFINITY)) {
      this.#cleared.delete(fingerprint);
    }
    this.#noteQuarantine(record);
  }

  /** Tells control again what it hasn't shown yet. */
  tell(): void {
    this.#isTelling = false;
    const crashes = [...this.#accusations.values()].flatMap((own) => [...own.values()]).slice(0, MOST_TOLD);
    const cleared = [...this.#cleared]
      .slice(0, MOST_TOLD)
      .map(([fingerprint, revision]) => ({ fingerprint, revision }));
    if (crashes.length === 0 && cleared.length === 0) {
      return;
    }
    const leader = this.#context.leader.target();
    if (leader !== null) {
      this.#context.emit({
        type: 'send-control',
        to: leader,
        message: { type: 'crash-report', crashes, cleared },
      });
    }
    this.#tellSoon(TELL_AGAIN_MILLIS);
  }

  /**
   * An innocent request that was beside a guilty one each time would else be refused for as long as the quarantine lasts.
   */
  #isTrialDue(fingerprint: RequestFingerprint): boolean {
    const notBefore = this.#trials.get(fingerprint);
    return notBefore != null && this.#context.now >= notBefore;
  }

  /** A trial is due some time after the router learned of the quarantine; a router that starts later has none. */
  #noteQuarantine({ fingerprint, service, crashes, runs, quarantinedAt, trialBy }: CrashSuspect): void {
    if (quarantinedAt === null || trialBy !== this.#context.config.incarnation) {
      this.#trials.delete(fingerprint);
    } else if (!this.#trials.has(fingerprint)) {
      this.#trials.set(fingerprint, this.#context.now + DEFAULT_QUARANTINE_TERMS.trialMillis);
    }
    if (quarantinedAt !== null) {
      this.#hasNews = true;
      this.#log('warn', 'request-quarantined', { fingerprint, service, crashes, runs, by: 'control' });
    }
  }

  /** A run that answers hasn't ended under what was given up there, nor under what was lost there before this attempt began. */
  #noteAlive({ run, startedAt }: Attempt): void {
    const watched = run === null ? undefined : this.#runs.get(run);
    if (watched !== undefined && watched.losses.length > 0) {
      watched.losses = watched.losses.filter(({ wasGivenUp, at }) => !wasGivenUp && at > startedAt);
    }
  }

  /** It came to no upstream. */
  #returnTrial(fingerprint: RequestFingerprint | null): void {
    if (fingerprint !== null && this.#trials.get(fingerprint) === null) {
      this.#trials.set(fingerprint, this.#context.now);
    }
  }

  #lose(attempt: Attempt, wasGivenUp: boolean): void {
    const { fingerprint, work } = attempt;
    if (fingerprint === null) {
      return;
    }
    const run = this.#runOf(attempt);
    const crash = { fingerprint, service: work.service.name };
    if (run.hasEnded) {
      this.#accuse(crash, run.name);
      return;
    }
    run.losses.push({ crash, wasGivenUp, at: this.#context.now });
    run.checks = 0;
    if (run.losses.length > MOST_LOSSES) {
      run.losses.shift();
    }
  }

  #runOf({ upstream, run }: Attempt): WatchedRun {
    const name = run ?? nameUnnamedRun(upstream.id, this.#context.wall);
    const known = this.#runs.get(name);
    if (known !== undefined) {
      return known;
    }
    const { address } = upstream.record.definition;
    const made: WatchedRun = { name, address, losses: [], checks: 0, isChecking: false, hasEnded: false };
    this.#runs.set(name, made);
    for (const [oldest] of this.#runs) {
      if (this.#runs.size <= MOST_RUNS) {
        break;
      }
      this.#runs.delete(oldest);
    }
    return made;
  }

  #checkAfter(run: WatchedRun, millis: number): void {
    if (!run.isChecking && !run.hasEnded && run.checks < MOST_CHECKS) {
      run.isChecking = true;
      this.#context.schedule(this.#context.now + millis, { type: 'run-check', run: run.name });
    }
  }

  #accuse({ fingerprint, service }: Loss['crash'], run: RunName): void {
    const crash = { fingerprint, service, run, reporter: this.#context.config.incarnation };
    if (this.#context.view.suspect(fingerprint)?.runs.includes(run) || this.#accusations.size >= MOST_HELD) {
      return;
    }
    const wasQuarantined = this.isQuarantined(fingerprint);
    const own = this.#accusations.get(fingerprint) ?? new Map<RunName, UpstreamCrash>();
    this.#accusations.set(fingerprint, own.set(run, crash));
    this.#log('info', 'request-suspected', { fingerprint, service, run, own: own.size });
    if (!wasQuarantined && this.isQuarantined(fingerprint)) {
      this.#hasNews = true;
      const runs = [...own.keys()];
      this.#log('warn', 'request-quarantined', { fingerprint, service, runs, by: 'own' });
    }
    this.#tellSoon(0);
  }

  #clear(fingerprint: RequestFingerprint | null): void {
    if (fingerprint === null || (this.#accusations.size === 0 && this.#context.view.suspectCount === 0)) {
      return;
    }
    this.#accusations.delete(fingerprint);
    const known = this.#context.view.suspect(fingerprint);
    if (known !== undefined && this.#cleared.size < MOST_HELD) {
      this.#cleared.set(fingerprint, known.revision);
      this.#tellSoon(0);
    }
  }

  #tellSoon(millis: number): void {
    if (!this.#isTelling) {
      this.#isTelling = true;
      this.#context.schedule(this.#context.now + millis, { type: 'crash-report' });
    }
  }

  #log(level: 'info' | 'warn', event: string, fields: Readonly<Record<string, unknown>>): void {
    this.#context.emit({ type: 'log', level, event, fields });
  }
}

/** Name of the run that an upstream is at; `null`: it is known by its upstream alone. */
export function runNameOf({ id, incarnation, isAnnounced }: UpstreamState): RunName | null {
  if (isAnnounced) {
    return id;
  }
  return incarnation === null ? null : `${id}/${incarnation}`;
}
