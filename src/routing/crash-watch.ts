/**
 * Detects requests that crash upstreams. An unanswered attempt accuses its request once it is proven that the run which received it has
 * ended. Control counts accusations over all routers and returns the suspects with the configuration. Until then this router adds its
 * own accusations to that count, so that it can quarantine a request without a connection to control.
 */
import {
  type CrashSuspect,
  DEFAULT_QUARANTINE_SETTINGS,
  type RequestFingerprint,
  type RunName,
  type UpstreamCrash,
} from '../model/crash-suspect.js';
import type { MonotonicMillis, Revision } from '../model/identifiers.js';
import { isBrokenByUpstream } from './connection-break.js';
import { QuarantineTrials } from './quarantine-trials.js';
import { retryAfterMillis } from './queue/retry-after.js';
import type { Attempt } from './request-group.js';
import type { RouterContext } from './router-context.js';
import type { ArrivedRequest, AttemptResult } from './types.js';
import { type SuspectRequest, WatchedRuns } from './watched-runs.js';

/** Reports are resent after this time until control confirms them; a report, its commit and the update together take about 100 ms. */
const REPORT_RETRY_MILLIS = 250;
/** Maximum accusations, and maximum clearances, in one report. */
const MAX_REPORT_ENTRIES = 64;
/** Maximum requests accused, and maximum requests cleared, that control has not confirmed yet. */
const MAX_UNCONFIRMED = 1000;
const FIRST_SERVER_ERROR = 500;

export class CrashWatch {
  readonly runs: WatchedRuns;
  readonly #context: RouterContext;
  /** Accusations not yet confirmed by control, by request and run. */
  readonly #accusations = new Map<RequestFingerprint, Map<RunName, UpstreamCrash>>();
  /** Suspects that succeeded at this router, with the revision of their records at that time. */
  readonly #cleared = new Map<RequestFingerprint, Revision>();
  readonly #trials: QuarantineTrials;
  #reportAt: MonotonicMillis = Number.POSITIVE_INFINITY;
  /** Whether a quarantine may have begun for a request that is waiting. */
  #mayHoldQuarantined = false;

  constructor(context: RouterContext) {
    this.#context = context;
    this.#trials = new QuarantineTrials(context.config.incarnation);
    this.runs = new WatchedRuns(
      context,
      (accusation, run) => this.#accuse(accusation, run),
      ({ fingerprint }) => this.#clear(fingerprint),
    );
  }

  /** Whether a request must be refused now: it is quarantined, and its trial is not due at this router. */
  isRefused(request: ArrivedRequest): boolean {
    const suspect = this.suspectOf(request);
    return suspect !== null && this.isQuarantined(suspect) && !this.#trials.isDue(suspect, this.#context.now);
  }

  /** The fingerprint of a request that may be a suspect; `null` if there are no suspects, or the request has no fingerprint. */
  suspectOf(request: ArrivedRequest): RequestFingerprint | null {
    // Computed only if needed: the fingerprint is a hash of the whole request and takes 3 % of a request's processing time.
    return this.#hasNoSuspects() ? null : (request.fingerprint ?? null);
  }

  /** Like `isRefused`, for a request that is sent immediately if it is not refused; this uses up its trial. */
  isRefusedAtDispatch(request: ArrivedRequest): boolean {
    const fingerprint = this.suspectOf(request);
    if (fingerprint === null || !this.isQuarantined(fingerprint)) {
      return false;
    }
    if (!this.#trials.isDue(fingerprint, this.#context.now)) {
      return true;
    }
    this.#trials.onSent(fingerprint);
    this.#log('info', 'quarantine-trial', { fingerprint });
    return false;
  }

  /** Whether a request is quarantined, by control or because the crashes counted by control and this router reach the limit. */
  isQuarantined(fingerprint: RequestFingerprint): boolean {
    if (this.#hasNoSuspects()) {
      return false;
    }
    const suspect = this.#context.view.suspect(fingerprint);
    const own = this.#accusations.get(fingerprint)?.size ?? 0;
    const needed = suspect?.needed ?? DEFAULT_QUARANTINE_SETTINGS.crashes;
    return suspect?.quarantinedAt != null || (suspect?.crashes ?? 0) + own >= needed;
  }

  /** Milliseconds until a quarantined request may be retried: the rest of its quarantine. */
  retryAfter(fingerprint: RequestFingerprint): number {
    const { view, wall, random } = this.#context;
    const until = view.suspect(fingerprint)?.until;
    const left = until === undefined ? DEFAULT_QUARANTINE_SETTINGS.keepMillis : until - wall;
    return left > 0 ? Math.ceil(left) : retryAfterMillis(0, random);
  }

  /** Returns whether a quarantine may have begun for a waiting request, and resets that flag. */
  takeQuarantineChange(): boolean {
    const hasChanged = this.#mayHoldQuarantined;
    this.#mayHoldQuarantined = false;
    return hasChanged;
  }

  /** Updates accusations and clearances from the result of an attempt. */
  recordResult(attempt: Attempt, result: AttemptResult): void {
    switch (result.type) {
      case 'answered':
        this.runs.answered(attempt);
        this.runs.clearIfAlive(attempt);
        if (result.status < FIRST_SERVER_ERROR) {
          this.#clear(this.suspectOf(attempt.request));
        }
        return;
      case 'refused':
        this.runs.answered(attempt);
        return;
      case 'broken':
        this.#recordBroken(attempt, isBrokenByUpstream(result.how));
        return;
      case 'cancelled':
        this.runs.recordUnanswered(attempt, true);
        return;
      case 'connect-failed':
        this.onUnsent(attempt);
        if (result.refused === true && attempt.run !== null) {
          this.runs.recordRefused(attempt.run);
        }
    }
  }

  /** Gives back the trial of a request that wasn't sent. */
  onUnsent({ request }: Attempt): void {
    this.#trials.onUnsent(this.suspectOf(request), this.#context.now);
  }

  /** Handles a change of control's record of a suspect. */
  suspectChanged(fingerprint: RequestFingerprint, record: CrashSuspect | null): void {
    this.#dropConfirmed(fingerprint, record);
    if (record === null || record.revision > (this.#cleared.get(fingerprint) ?? Number.POSITIVE_INFINITY)) {
      this.#cleared.delete(fingerprint);
    }
    const begins = this.#trials.applySuspect(fingerprint, record, this.#context.now);
    this.#mayHoldQuarantined ||= record !== null && record.quarantinedAt !== null;
    if (begins && record !== null) {
      const { service, crashes, runs } = record;
      this.#log('warn', 'request-quarantined', { fingerprint, service, crashes, runs, by: 'control' });
    }
  }

  /** Reports to control what it has not confirmed yet, and schedules the next report. */
  sendReport(): void {
    if (this.#context.now < this.#reportAt) {
      return;
    }
    this.#reportAt = Number.POSITIVE_INFINITY;
    const crashes = [...this.#accusations.values()]
      .flatMap((own) => [...own.values()])
      .slice(0, MAX_REPORT_ENTRIES);
    const revisions = [...this.#cleared].slice(0, MAX_REPORT_ENTRIES);
    if (crashes.length === 0 && revisions.length === 0) {
      return;
    }
    const cleared = revisions.map(([fingerprint, revision]) => ({ fingerprint, revision }));
    const leader = this.#context.leader.target();
    if (leader !== null) {
      const message = { type: 'crash-report', crashes, cleared } as const;
      this.#context.emit({ type: 'send-control', to: leader, message });
    }
    this.#scheduleReport(REPORT_RETRY_MILLIS);
  }

  #recordBroken(attempt: Attempt, isByUpstream: boolean): void {
    if (isByUpstream) {
      this.runs.recordBrokenConnection(attempt);
    } else {
      this.runs.recordUnanswered(attempt, false);
    }
  }

  #accuse({ fingerprint, service }: SuspectRequest, run: RunName): void {
    const isKnown = this.#context.view.suspect(fingerprint)?.runs.includes(run) ?? false;
    if (isKnown || this.#accusations.size >= MAX_UNCONFIRMED) {
      return;
    }
    const wasQuarantined = this.isQuarantined(fingerprint);
    const own = this.#accusations.get(fingerprint) ?? new Map<RunName, UpstreamCrash>();
    const reporter = this.#context.config.incarnation;
    this.#accusations.set(fingerprint, own.set(run, { fingerprint, service, run, reporter }));
    this.#log('info', 'request-suspected', { fingerprint, service, run, own: own.size });
    if (!wasQuarantined && this.isQuarantined(fingerprint)) {
      this.#mayHoldQuarantined = true;
      const runs = [...own.keys()];
      this.#log('warn', 'request-quarantined', { fingerprint, service, runs, by: 'own' });
    }
    this.#scheduleReport(0);
  }

  /** Clears a request that succeeded: a request that crashes its upstream never succeeds. */
  #clear(fingerprint: RequestFingerprint | null): void {
    if (fingerprint === null) {
      return;
    }
    this.#accusations.delete(fingerprint);
    const suspect = this.#context.view.suspect(fingerprint);
    if (suspect !== undefined && this.#cleared.size < MAX_UNCONFIRMED) {
      this.#cleared.set(fingerprint, suspect.revision);
      this.#scheduleReport(0);
    }
  }

  /** Drops accusations that control's record now contains, or all of them if control has released the request. */
  #dropConfirmed(fingerprint: RequestFingerprint, record: CrashSuspect | null): void {
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

  #hasNoSuspects(): boolean {
    return this.#accusations.size === 0 && this.#context.view.suspectCount === 0;
  }

  #scheduleReport(millis: number): void {
    const at = this.#context.now + millis;
    if (at < this.#reportAt) {
      this.#reportAt = at;
      this.#context.schedule(at, { type: 'crash-report' });
    }
  }

  #log(level: 'info' | 'warn', event: string, fields: Readonly<Record<string, unknown>>): void {
    this.#context.emit({ type: 'log', level, event, fields });
  }
}
