/**
 * Requests under which upstreams end. An attempt that was left without an answer accuses its request once it is proved that the run
 * which worked on it has ended. Control counts over all routers, and what it holds comes back with the configuration. Until then
 * this router counts its own accusations on top, so that it need not be in touch with anybody to stop.
 */
import {
  type CrashSuspect,
  DEFAULT_QUARANTINE_TERMS,
  type RequestFingerprint,
  type RunName,
  type UpstreamCrash,
} from '../model/crash-suspect.js';
import type { MonotonicMillis, Revision } from '../model/identifiers.js';
import { isBrokenByUpstream } from './connection-break.js';
import { QuarantineTrials } from './quarantine-trials.js';
import { retryAfterMillis } from './queue/retry-after.js';
import type { RouterContext } from './router-context.js';
import type { ArrivedRequest, AttemptResult } from './types.js';
import { type Accusation, WatchedRuns } from './watched-runs.js';
import type { Attempt } from './work.js';

/** Accusations that control hasn't shown are told again after this; the way there, a commit and the news take some 100 ms. */
const TELL_AGAIN_MILLIS = 250;
/** Accusations and clearances in one report. */
const MOST_TOLD = 64;
/** Requests that are accused or cleared here and that control hasn't shown yet. */
const MOST_HELD = 1000;
const FIRST_SERVER_ERROR = 500;

export class CrashWatch {
  readonly runs: WatchedRuns;
  readonly #context: RouterContext;
  /** By request and run, what control hasn't shown yet. */
  readonly #accusations = new Map<RequestFingerprint, Map<RunName, UpstreamCrash>>();
  /** Suspects that succeeded here, and the revision at which control showed them then. */
  readonly #cleared = new Map<RequestFingerprint, Revision>();
  readonly #trials: QuarantineTrials;
  #tellAt: MonotonicMillis = Number.POSITIVE_INFINITY;
  /** A request is refused now that may be waiting. */
  #hasNews = false;

  constructor(context: RouterContext) {
    this.#context = context;
    this.#trials = new QuarantineTrials(context.config.incarnation);
    this.runs = new WatchedRuns(
      context,
      (accusation, run) => this.#accuse(accusation, run),
      ({ fingerprint }) => this.#clear(fingerprint),
    );
  }

  /** Whether a request is refused now: it is quarantined, and its trial isn't due here. */
  isRefused(request: ArrivedRequest): boolean {
    const suspect = this.suspectOf(request);
    return suspect !== null && this.isQuarantined(suspect) && !this.#trials.isDue(suspect, this.#context.now);
  }

  /** The fingerprint of a request that may be a suspect; `null`: nothing is known of any, or it isn't watched. */
  suspectOf(request: ArrivedRequest): RequestFingerprint | null {
    // Asked for only then: it is a hash over the whole request, 3 % of what one costs (25 a second, a profile of 8 s).
    return this.#knowsNobody() ? null : (request.fingerprint ?? null);
  }

  /** As `isRefused`, for a request that is sent at once if it isn't: its trial is over with that. */
  isRefusedAtDispatch(request: ArrivedRequest): boolean {
    const fingerprint = this.suspectOf(request);
    if (fingerprint === null || !this.isQuarantined(fingerprint)) {
      return false;
    }
    if (!this.#trials.isDue(fingerprint, this.#context.now)) {
      return true;
    }
    this.#trials.begin(fingerprint);
    this.#log('info', 'quarantine-trial', { fingerprint });
    return false;
  }

  /** Whether so many runs ended under a request, as control and this router know, that it may not be sent. */
  isQuarantined(fingerprint: RequestFingerprint): boolean {
    if (this.#knowsNobody()) {
      return false;
    }
    const known = this.#context.view.suspect(fingerprint);
    const own = this.#accusations.get(fingerprint)?.size ?? 0;
    const needed = known?.needed ?? DEFAULT_QUARANTINE_TERMS.crashes;
    return known?.quarantinedAt != null || (known?.crashes ?? 0) + own >= needed;
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
        this.runs.answered(attempt);
        this.runs.livesOn(attempt);
        if (result.status < FIRST_SERVER_ERROR) {
          this.#clear(this.suspectOf(attempt.request));
        }
        return;
      case 'refused':
        this.runs.answered(attempt);
        return;
      case 'broken':
        this.#takeBroken(attempt, isBrokenByUpstream(result.how));
        return;
      case 'cancelled':
        this.runs.leftUnanswered(attempt, true);
        return;
      case 'connect-failed':
        this.#trials.cameToNobody(this.suspectOf(attempt.request), this.#context.now);
        if (result.refused === true && attempt.run !== null) {
          this.runs.ended(attempt.run, 'connection-refused');
        }
    }
  }

  /** What control holds of a suspect has changed. */
  suspectChanged(fingerprint: RequestFingerprint, record: CrashSuspect | null): void {
    this.#dropShown(fingerprint, record);
    if (record === null || record.revision > (this.#cleared.get(fingerprint) ?? Number.POSITIVE_INFINITY)) {
      this.#cleared.delete(fingerprint);
    }
    const begins = this.#trials.suspectChanged(fingerprint, record, this.#context.now);
    this.#hasNews ||= record !== null && record.quarantinedAt !== null;
    if (begins && record !== null) {
      const { service, crashes, runs } = record;
      this.#log('warn', 'request-quarantined', { fingerprint, service, crashes, runs, by: 'control' });
    }
  }

  /** Tells control what it hasn't shown yet, and again after a while. */
  tell(): void {
    if (this.#context.now < this.#tellAt) {
      return;
    }
    this.#tellAt = Number.POSITIVE_INFINITY;
    const crashes = [...this.#accusations.values()].flatMap((own) => [...own.values()]).slice(0, MOST_TOLD);
    const revisions = [...this.#cleared].slice(0, MOST_TOLD);
    if (crashes.length === 0 && revisions.length === 0) {
      return;
    }
    const cleared = revisions.map(([fingerprint, revision]) => ({ fingerprint, revision }));
    const leader = this.#context.leader.target();
    if (leader !== null) {
      const message = { type: 'crash-report', crashes, cleared } as const;
      this.#context.emit({ type: 'send-control', to: leader, message });
    }
    this.#tellIn(TELL_AGAIN_MILLIS);
  }

  #takeBroken(attempt: Attempt, byUpstream: boolean): void {
    if (byUpstream) {
      this.runs.connectionBroke(attempt);
    } else {
      this.runs.leftUnanswered(attempt, false);
    }
  }

  #accuse({ fingerprint, service }: Accusation, run: RunName): void {
    const isKnown = this.#context.view.suspect(fingerprint)?.runs.includes(run) ?? false;
    if (isKnown || this.#accusations.size >= MOST_HELD) {
      return;
    }
    const wasQuarantined = this.isQuarantined(fingerprint);
    const own = this.#accusations.get(fingerprint) ?? new Map<RunName, UpstreamCrash>();
    const reporter = this.#context.config.incarnation;
    this.#accusations.set(fingerprint, own.set(run, { fingerprint, service, run, reporter }));
    this.#log('info', 'request-suspected', { fingerprint, service, run, own: own.size });
    if (!wasQuarantined && this.isQuarantined(fingerprint)) {
      this.#hasNews = true;
      const runs = [...own.keys()];
      this.#log('warn', 'request-quarantined', { fingerprint, service, runs, by: 'own' });
    }
    this.#tellIn(0);
  }

  /** It succeeded, which whoever crashes its upstream never does. */
  #clear(fingerprint: RequestFingerprint | null): void {
    if (fingerprint === null) {
      return;
    }
    this.#accusations.delete(fingerprint);
    const known = this.#context.view.suspect(fingerprint);
    if (known !== undefined && this.#cleared.size < MOST_HELD) {
      this.#cleared.set(fingerprint, known.revision);
      this.#tellIn(0);
    }
  }

  /** Accusations that control shows by now, or of a request that it has released. */
  #dropShown(fingerprint: RequestFingerprint, record: CrashSuspect | null): void {
    const own = this.#accusations.get(fingerprint);
    for (const run of own?.keys() ?? []) {
      if (record === null || record.runs.includes(run)) {
        own?.delete(run);
      }
    }
    if (own?.size === 0) {
      this.#accusations.delete(fingerprint);
    }
  }

  #knowsNobody(): boolean {
    return this.#accusations.size === 0 && this.#context.view.suspectCount === 0;
  }

  #tellIn(millis: number): void {
    const at = this.#context.now + millis;
    if (at < this.#tellAt) {
      this.#tellAt = at;
      this.#context.schedule(at, { type: 'crash-report' });
    }
  }

  #log(level: 'info' | 'warn', event: string, fields: Readonly<Record<string, unknown>>): void {
    this.#context.emit({ type: 'log', level, event, fields });
  }
}
