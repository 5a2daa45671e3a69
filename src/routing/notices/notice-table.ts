/**
 * Notices of upstreams, by run. They survive when a router drops and recreates an upstream's state, and a late answer of an earlier run doesn't
 * change the notices of another run.
 */
import type { RunName } from '../../model/crash-suspect.js';
import type { MonotonicMillis, UpstreamId } from '../../model/identifiers.js';
import type { RoundPosition } from '../../model/router-time-slots.js';
import type { ReportedLimit, UpstreamNotice } from '../../model/upstream-notice.js';
import type { AnswerOrder } from './request-limit.js';
import { RunNotices } from './run-notices.js';

/** Beyond this many runs, the run whose first notice is oldest is removed. */
const MAX_RUNS = 4096;

export interface NoticeTableParts {
  /** Returns this router's current place among all routers. */
  readonly place: () => RoundPosition;
  /** Logs a received notice. */
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
}

/** The answer that carried a notice. */
export interface NoticeSource extends AnswerOrder {
  readonly upstream: UpstreamId;
  readonly run: RunName;
  /** Whether `run` identifies a single run; `false`: it covers every process that answers as this upstream. */
  readonly isNamed: boolean;
  /** Start of the attempt. */
  readonly startedAt: MonotonicMillis;
}

export class NoticeTable {
  readonly #parts: NoticeTableParts;
  readonly #runs = new Map<RunName, RunNotices>();
  /** Runs that have, or may have, something to report to control. */
  readonly unreported = new Set<RunNotices>();

  constructor(parts: NoticeTableParts) {
    this.#parts = parts;
  }

  /** Returns the notices of a run; `null` if it has sent none yet. */
  get(run: RunName): RunNotices | null {
    return this.#runs.get(run) ?? null;
  }

  /** Returns the notices of a run for a newly created upstream state, and schedules them to be reported to control again. */
  resume(run: RunName): RunNotices | null {
    const notices = this.get(run);
    if (notices !== null) {
      this.unreported.add(notices);
    }
    return notices;
  }

  /** Records the notice of a response head. Returns the run's notices if this changes which requests they admit, otherwise `null`. */
  recordNotice(notice: UpstreamNotice, from: NoticeSource, now: MonotonicMillis): RunNotices | null {
    const { upstream, run, attempt } = from;
    for (const { header, text } of notice.unreadable) {
      this.#parts.log('upstream-notice-unreadable', { upstream, run, attempt, header, text });
    }
    const existing = this.#runs.get(run);
    if (existing === undefined && isSilent(notice)) {
      return null;
    }
    const notices = existing ?? this.#addRun(from);
    const isLimitChanged = this.#recordLimit(notice, notices, from, now);
    const { restMillis } = notice;
    const isBackoffNew = restMillis !== null && this.recordBackoff(restMillis, from, now) !== null;
    const isDrainingNew = notice.isLeaving && this.#recordDraining(notices, from, now);
    return isLimitChanged || isBackoffNew || isDrainingNew ? notices : null;
  }

  /** Records the back-off that an answer requests. Returns the run's notices, or `null` if the back-off of this answer is already recorded. */
  recordBackoff(restMillis: number, from: NoticeSource, now: MonotonicMillis): RunNotices | null {
    const notices = this.#runs.get(from.run) ?? this.#addRun(from);
    const { upstream, run, backoff } = notices;
    const { attempt } = from;
    if (!backoff.start(restMillis, attempt, now)) {
      return null;
    }
    this.unreported.add(notices);
    const answerMillis = Math.round(now - from.startedAt);
    const leftMillis = Math.round(backoff.waitMillis(now));
    this.#parts.log('upstream-rest-asked', { upstream, run, restMillis, leftMillis, attempt, answerMillis });
    return notices;
  }

  /** Applies the latest limit that another router received, forwarded by control. Returns `true` if this changes the limit in force. */
  applyFromControl(notices: RunNotices, heard: ReportedLimit, now: MonotonicMillis): boolean {
    const { limit, upstream, run } = notices;
    const before = limit.perSecond;
    const isChanged = limit.recordFromControl(heard, now);
    if (isChanged) {
      this.unreported.add(notices);
      const { perSecond, heardAgoMillis } = heard;
      this.#parts.log('upstream-limit-changed', {
        upstream,
        run,
        perSecond,
        before,
        by: 'control',
        heardAgoMillis,
      });
    }
    return isChanged;
  }

  #addRun({ upstream, run, isNamed }: NoticeSource): RunNotices {
    const notices = new RunNotices(upstream, run, isNamed, this.#parts.place);
    this.#runs.set(run, notices);
    const [oldest] = this.#runs.values();
    if (this.#runs.size > MAX_RUNS && oldest !== undefined) {
      this.#runs.delete(oldest.run);
      this.unreported.delete(oldest);
    }
    return notices;
  }

  #recordDraining(notices: RunNotices, { attempt, startedAt }: NoticeSource, now: MonotonicMillis): boolean {
    if (!notices.recordDraining(now)) {
      return false;
    }
    this.unreported.add(notices);
    const { upstream, run } = notices;
    const answerMillis = Math.round(now - startedAt);
    this.#parts.log('upstream-leaving-heard', { upstream, run, attempt, answerMillis });
    return true;
  }

  #recordLimit(
    { limit: reported }: UpstreamNotice,
    notices: RunNotices,
    from: NoticeSource,
    now: MonotonicMillis,
  ): boolean {
    const { limit, upstream, run } = notices;
    if (reported.type === 'unreadable') {
      return false;
    }
    const before = limit.perSecond;
    const isChanged = limit.recordAnswer(reported.type === 'named' ? reported.perSecond : null, from, now);
    if (isChanged) {
      this.unreported.add(notices);
      const answerMillis = Math.round(now - from.startedAt);
      const { perSecond } = limit;
      const { attempt } = from;
      this.#parts.log('upstream-limit-changed', {
        upstream,
        run,
        perSecond,
        before,
        by: 'answer',
        attempt,
        answerMillis,
      });
    }
    return isChanged;
  }
}

function isSilent({ limit, restMillis, isLeaving }: UpstreamNotice): boolean {
  return limit.type !== 'named' && restMillis === null && !isLeaving;
}
