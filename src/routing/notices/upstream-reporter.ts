/**
 * Reports upstream notices to the control leader, and requests permits for the requests that wait for upstreams with a limit. One message
 * covers all upstreams; reports are repeated, since messages may be lost.
 */
import type { UpstreamPermits } from '../../control/messages.js';
import type { MonotonicMillis } from '../../model/identifiers.js';
import { PERMIT_LIFETIME_MILLIS } from '../../model/limit-shares.js';
import type { IssuedPermits, ReportedUpstream } from '../../model/upstream-notice.js';
import type { RankedQueue } from '../queue/ranked-queue.js';
import type { RouterContext } from '../router-context.js';
import type { UpstreamState } from '../upstream/upstream-state.js';
import type { RunNotices } from './run-notices.js';

/** Minimum time between two messages, so that requests which arrive together share one. */
const MIN_REPORT_GAP_MILLIS = 10;
/** A request for permits is repeated after this time without an answer. */
const PERMIT_RETRY_MILLIS = 200;
/** Notices in force are reported again at this interval: the leader may have changed, and it drops old reports. */
const REPORT_REPEAT_MILLIS = 1000;

/** The last report about one run. */
interface LastReport {
  perSecond: number | null;
  backoffUntil: MonotonicMillis;
  isLeaving: boolean;
  at: MonotonicMillis;
  /** Requested permits without an answer yet. */
  pendingPermits: number;
}

/** The queued requests of one upstream. */
interface QueuedRequests {
  readonly count: number;
  readonly rank: number;
  readonly patienceMillis: number;
}

const NO_REPORT: LastReport = {
  perSecond: null,
  backoffUntil: Number.NEGATIVE_INFINITY,
  isLeaving: false,
  at: Number.NEGATIVE_INFINITY,
  pendingPermits: 0,
};
/** Less important than any rank that a route can have. */
const LAST_RANK = 1_000_000;
const NO_REQUESTS: QueuedRequests = { count: 0, rank: LAST_RANK, patienceMillis: 0 };

export class UpstreamReporter {
  readonly #context: RouterContext;
  readonly #lastReports = new Map<RunNotices, LastReport>();
  #reportedAt: MonotonicMillis = Number.NEGATIVE_INFINITY;
  #timerAt: MonotonicMillis = Number.POSITIVE_INFINITY;

  constructor(context: RouterContext) {
    this.#context = context;
  }

  /** Sends the reports that are due. Returns at once while there is nothing to report. */
  step(): void {
    const { now, leader, notices } = this.#context;
    const to = leader.target();
    if (notices.unreported.size === 0 || to === null) {
      return;
    }
    if (now - this.#reportedAt < MIN_REPORT_GAP_MILLIS) {
      this.#scheduleAt(this.#reportedAt + MIN_REPORT_GAP_MILLIS);
      return;
    }
    const upstreams = this.#dueReports();
    if (upstreams.length > 0) {
      this.#reportedAt = now;
      this.#context.emit({
        type: 'send-control',
        to,
        message: { type: 'upstream-report', stamp: now, upstreams },
      });
    }
  }

  /** Handles the timer that `step` scheduled. */
  onTimer(): void {
    this.#timerAt = Number.POSITIVE_INFINITY;
  }

  /** Applies the leader's answer. Returns the upstreams whose queued requests have to be checked. */
  applyPermits({ stamp, waitedMillis, upstreams }: UpstreamPermits): UpstreamState[] {
    const until = stamp + waitedMillis + PERMIT_LIFETIME_MILLIS;
    return upstreams.flatMap((issued) => this.#applyIssued(issued, until));
  }

  #applyIssued(
    { run, granted, nextInMillis, limit }: IssuedPermits,
    until: MonotonicMillis,
  ): UpstreamState[] {
    const { now, notices: table } = this.#context;
    const notices = table.get(run);
    if (notices === null) {
      return [];
    }
    const last = this.#lastReports.get(notices);
    if (last !== undefined) {
      last.pendingPermits = nextInMillis === null ? Math.max(0, last.pendingPermits - granted) : 0;
    }
    table.applyFromControl(notices, limit, now);
    if (now < until) {
      notices.limit.addPermits(granted, until);
    }
    if (nextInMillis !== null) {
      notices.limit.recordDenial(now + nextInMillis);
    }
    const state = this.#stateOf(notices);
    return state === null ? [] : [state];
  }

  #dueReports(): ReportedUpstream[] {
    const { notices: table, now } = this.#context;
    const { unreported: untold } = table;
    const due: ReportedUpstream[] = [];
    for (const notices of untold) {
      const report = this.#reportOf(notices);
      if (report !== null) {
        due.push(report);
      }
      const { limit, backoff } = notices;
      const hasNoticeInForce = limit.isInForce || backoff.isInForce(now) || this.#isDrainingUnshown(notices);
      if (!hasNoticeInForce || this.#stateOf(notices) === null) {
        untold.delete(notices);
        this.#lastReports.delete(notices);
      }
    }
    return due;
  }

  /** Returns `null` if nothing about this run is due to be reported. */
  #reportOf(notices: RunNotices): ReportedUpstream | null {
    const { now } = this.#context;
    const { limit, backoff, upstream, run } = notices;
    const last = this.#lastReports.get(notices) ?? NO_REPORT;
    const restMillis = backoff.waitMillis(now);
    const isNewBackoff = restMillis > 0 && backoff.until !== last.backoffUntil;
    const isLeaving = this.#isDrainingUnshown(notices);
    const isChanged = limit.perSecond !== last.perSecond || isNewBackoff || isLeaving !== last.isLeaving;
    const isRepeatDue =
      (limit.isInForce || restMillis > 0 || isLeaving) && now - last.at >= REPORT_REPEAT_MILLIS;
    const { count, rank, patienceMillis } = limit.isInForce ? this.#queuedFor(notices) : NO_REQUESTS;
    const wanted = this.#wantedPermits(notices, count);
    const isPermitRequestDue =
      wanted > last.pendingPermits || (wanted > 0 && now - last.at >= PERMIT_RETRY_MILLIS);
    if (!isChanged && !isRepeatDue && !isPermitRequestDue) {
      return null;
    }
    const { perSecond } = limit;
    this.#lastReports.set(notices, {
      perSecond,
      backoffUntil: backoff.until,
      isLeaving,
      at: now,
      pendingPermits: wanted,
    });
    return {
      upstream,
      run,
      limit: limit.lastReport(now),
      restMillis,
      isLeaving,
      wanted,
      rank,
      patienceMillis,
    };
  }

  /**
   * Whether control doesn't show a draining run as such yet. Control marks only upstreams that announce themselves by their own notices; the
   * others are drained by operators.
   */
  #isDrainingUnshown(notices: RunNotices): boolean {
    const definition = this.#stateOf(notices)?.record.definition;
    const isShown = definition === undefined || definition.leaving || definition.announced === undefined;
    return !isShown && notices.isLeaving;
  }

  /** Number of permits to request; 0 while control has announced when it will have permits again. */
  #wantedPermits({ limit }: RunNotices, waiting: number): number {
    const { now } = this.#context;
    if (waiting === 0 || limit.waitMillis(now) > 0) {
      return 0;
    }
    return Math.max(0, waiting + limit.permitsToPrefetch(now) - limit.permitsLeft(now));
  }

  #queuedFor(notices: RunNotices): QueuedRequests {
    const state = this.#stateOf(notices);
    const service = this.#context.services.get(state?.record.definition.service ?? '');
    if (state === null || service === undefined) {
      return NO_REQUESTS;
    }
    const { queues: lanes, definition } = service;
    const waiting = definition.keyed ? lanes.waitingFor(state.id) : lanes.allWaiting();
    return waiting.reduce((sum, { queue }) => this.#addQueue(sum, queue), NO_REQUESTS);
  }

  /** Adds a queue, represented by its first and last group. */
  #addQueue({ count, rank, patienceMillis }: QueuedRequests, queue: RankedQueue): QueuedRequests {
    const { now } = this.#context;
    const ends = queue.firstAndLast;
    const patiences = ends.map((group) => Math.min(group.holdUntil, group.deadline) - now);
    return {
      count: count + queue.length,
      rank: Math.min(rank, ...ends.map(({ terms }) => terms.priority)),
      patienceMillis: Math.max(patienceMillis, ...patiences),
    };
  }

  /** Returns the state of the upstream if it is at this run, otherwise `null`. */
  #stateOf(notices: RunNotices): UpstreamState | null {
    const state = this.#context.upstreams.get(notices.upstream);
    return state?.notices === notices ? state : null;
  }

  #scheduleAt(at: MonotonicMillis): void {
    if (at < this.#timerAt) {
      this.#timerAt = at;
      this.#context.schedule(at, { type: 'upstream-report' });
    }
  }
}
