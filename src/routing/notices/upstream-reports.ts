/**
 * Tells the control leader what upstreams said of themselves, and asks it for permits for requests that wait at upstreams with a limit. One
 * message is about all of them; a word that is lost is said again.
 */
import type { UpstreamPermits } from '../../control/messages.js';
import type { MonotonicMillis } from '../../model/identifiers.js';
import { PERMIT_MILLIS } from '../../model/limit-shares.js';
import type { HeardUpstream, IssuedPermits } from '../../model/upstream-notice.js';
import type { RankedQueue } from '../queue/ranked-queue.js';
import type { RouterContext } from '../router-context.js';
import type { UpstreamState } from '../upstream/upstream-state.js';
import type { RunNotices } from './run-notices.js';

/** Shortest time between two messages, so that requests which come together share one. */
const REPORT_GAP_MILLIS = 10;
/** What is wanted is asked for again after this long without an answer. */
const ASK_AGAIN_MILLIS = 200;
/** What is in force is told again this often: the leader may be another one, and forgets. */
const TELL_AGAIN_MILLIS = 1000;

/** What the leader was told of one run. */
interface Told {
  perSecond: number | null;
  restUntil: MonotonicMillis;
  isLeaving: boolean;
  at: MonotonicMillis;
  /** Permits that were asked for and not answered; 0: none. */
  asked: number;
}

/** Requests that wait for one upstream. */
interface Waiting {
  readonly count: number;
  readonly rank: number;
  readonly patienceMillis: number;
}

const NOTHING_TOLD: Told = {
  perSecond: null,
  restUntil: Number.NEGATIVE_INFINITY,
  isLeaving: false,
  at: Number.NEGATIVE_INFINITY,
  asked: 0,
};
/** Behind any rank that a route may have. */
const LAST_RANK = 1_000_000;
const NOBODY: Waiting = { count: 0, rank: LAST_RANK, patienceMillis: 0 };

export class UpstreamReports {
  readonly #context: RouterContext;
  readonly #told = new Map<RunNotices, Told>();
  #reportedAt: MonotonicMillis = Number.NEGATIVE_INFINITY;
  #dueAt: MonotonicMillis = Number.POSITIVE_INFINITY;

  constructor(context: RouterContext) {
    this.#context = context;
  }

  /** Tells what is due. Costs nothing while no upstream says anything. */
  step(): void {
    const { now, leader, notices } = this.#context;
    const to = leader.target();
    if (notices.untold.size === 0 || to === null) {
      return;
    }
    if (now - this.#reportedAt < REPORT_GAP_MILLIS) {
      this.#wakeAt(this.#reportedAt + REPORT_GAP_MILLIS);
      return;
    }
    const upstreams = this.#due();
    if (upstreams.length > 0) {
      this.#reportedAt = now;
      this.#context.emit({
        type: 'send-control',
        to,
        message: { type: 'upstream-report', stamp: now, upstreams },
      });
    }
  }

  /** The time for a look has come. */
  woken(): void {
    this.#dueAt = Number.POSITIVE_INFINITY;
  }

  /** Takes the leader's answer; gives the upstreams whose waiting requests are to be looked at. */
  take({ stamp, waitedMillis, upstreams }: UpstreamPermits): UpstreamState[] {
    const until = stamp + waitedMillis + PERMIT_MILLIS;
    return upstreams.flatMap((issued) => this.#takeIssued(issued, until));
  }

  #takeIssued({ run, granted, nextInMillis, limit }: IssuedPermits, until: MonotonicMillis): UpstreamState[] {
    const { now, notices: table } = this.#context;
    const notices = table.of(run);
    if (notices === null) {
      return [];
    }
    const told = this.#told.get(notices);
    if (told !== undefined) {
      told.asked = nextInMillis === null ? Math.max(0, told.asked - granted) : 0;
    }
    table.takeFromControl(notices, limit, now);
    if (now < until) {
      notices.limit.take(granted, until);
    }
    if (nextInMillis !== null) {
      notices.limit.turnedDown(now + nextInMillis);
    }
    const state = this.#stateOf(notices);
    return state === null ? [] : [state];
  }

  #due(): HeardUpstream[] {
    const { notices: table, now } = this.#context;
    const { untold } = table;
    const due: HeardUpstream[] = [];
    for (const notices of untold) {
      const report = this.#reportOf(notices);
      if (report !== null) {
        due.push(report);
      }
      const { limit, rest } = notices;
      const hasMore = limit.isInForce || rest.isInForce(now) || this.#isLeavingUnshown(notices);
      if (!hasMore || this.#stateOf(notices) === null) {
        untold.delete(notices);
        this.#told.delete(notices);
      }
    }
    return due;
  }

  /** `null`: there is nothing to tell of it now. */
  #reportOf(notices: RunNotices): HeardUpstream | null {
    const { now } = this.#context;
    const { limit, rest, upstream, run } = notices;
    const told = this.#told.get(notices) ?? NOTHING_TOLD;
    const restMillis = rest.waitMillis(now);
    const isNewRest = restMillis > 0 && rest.until !== told.restUntil;
    const isLeaving = this.#isLeavingUnshown(notices);
    const isNews = limit.perSecond !== told.perSecond || isNewRest || isLeaving !== told.isLeaving;
    const isOld = (limit.isInForce || restMillis > 0 || isLeaving) && now - told.at >= TELL_AGAIN_MILLIS;
    const { count, rank, patienceMillis } = limit.isInForce ? this.#waitingFor(notices) : NOBODY;
    const wanted = this.#wanted(notices, count);
    const asksMore = wanted > told.asked || (wanted > 0 && now - told.at >= ASK_AGAIN_MILLIS);
    if (!isNews && !isOld && !asksMore) {
      return null;
    }
    const { perSecond } = limit;
    this.#told.set(notices, { perSecond, restUntil: rest.until, isLeaving, at: now, asked: wanted });
    return { upstream, run, limit: limit.heard(now), restMillis, isLeaving, wanted, rank, patienceMillis };
  }

  /** Only upstreams that announce themselves are marked by their own word; of the others operators say who leaves. */
  #isLeavingUnshown(notices: RunNotices): boolean {
    const definition = this.#stateOf(notices)?.record.definition;
    const isShown = definition === undefined || definition.leaving || definition.announced === undefined;
    return !isShown && notices.isLeaving;
  }

  /** Nothing more while control has said when there is something again. */
  #wanted({ limit }: RunNotices, waiting: number): number {
    const { now } = this.#context;
    if (waiting === 0 || limit.waitMillis(now) > 0) {
      return 0;
    }
    return Math.max(0, waiting + limit.aheadOf(now) - limit.permitsLeft(now));
  }

  #waitingFor(notices: RunNotices): Waiting {
    const state = this.#stateOf(notices);
    const service = this.#context.services.get(state?.record.definition.service ?? '');
    if (state === null || service === undefined) {
      return NOBODY;
    }
    const { lanes, definition } = service;
    const waiting = definition.keyed ? lanes.waitingFor(state.id) : lanes.allWaiting();
    return waiting.reduce((sum, { queue }) => this.#withQueue(sum, queue), NOBODY);
  }

  /** The first and the last stand for those between them. */
  #withQueue({ count, rank, patienceMillis }: Waiting, queue: RankedQueue): Waiting {
    const { now } = this.#context;
    const ends = queue.ends;
    const patiences = ends.map((work) => Math.min(work.holdUntil, work.deadline) - now);
    return {
      count: count + queue.length,
      rank: Math.min(rank, ...ends.map(({ terms }) => terms.priority)),
      patienceMillis: Math.max(patienceMillis, ...patiences),
    };
  }

  /** The state of the upstream while it is this run of it. */
  #stateOf(notices: RunNotices): UpstreamState | null {
    const state = this.#context.upstreams.get(notices.upstream);
    return state?.notices === notices ? state : null;
  }

  #wakeAt(at: MonotonicMillis): void {
    if (at < this.#dueAt) {
      this.#dueAt = at;
      this.#context.schedule(at, { type: 'upstream-report' });
    }
  }
}
