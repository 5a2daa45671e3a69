/** Whether work may wait, for how long, and what it is told if it may not. */
import type { Answers } from '../answers.js';
import { noticeWaitOf } from '../notices/notice-wait.js';
import type { RouterContext } from '../router-context.js';
import type { ServiceState } from '../service-state.js';
import type { RefusalReason } from '../types.js';
import type { UpstreamState } from '../upstream/upstream-state.js';
import type { Work } from '../work.js';
import type { Lane } from './lane-table.js';
import { retryAfterAtLeast, retryAfterMillis, UNMEASURED_RETRY_MILLIS } from './retry-after.js';
import { ReturnPromises } from './return-promises.js';
import { WaitEstimate } from './wait-estimate.js';
import { latestStartOf } from './waiting-class.js';

/** Requests that a router keeps waiting over all services; beyond it, less important ones give way. */
const WAITING_LIMIT = 10_000;
/** Share of a service's queue that one shard may fill. */
const LANE_SHARE = 0.5;
/** Work that may have run is tried once more, however little time is left. */
const LEAST_WAIT_MILLIS = 1;
/** Work that may have run is given up when this share of its deadline is left. */
const RESERVED_SHARE = 0.1;
/**
 * Work is let in while its estimated wait is below this share of its limit, so that a lane which then drains a little
 * slower than estimated serves it all the same.
 */
const ADMITTED_SHARE = 0.75;

export class Admission {
  private readonly estimate: WaitEstimate;
  readonly returns: ReturnPromises;

  constructor(
    private readonly context: RouterContext,
    private readonly answers: Answers,
  ) {
    this.estimate = new WaitEstimate(context);
    this.returns = new ReturnPromises(context, this.estimate);
  }

  /** Why a work may not wait, if it may not. */
  refusalOf(work: Work): RefusalReason | undefined {
    const { service } = work;
    if (service.isOutOfUse) {
      return 'no-upstream';
    }
    const longest = Math.min(work.deadline - this.context.now, this.longestWait(work));
    const held = noticeWaitOf(work, this.context);
    if (held !== null) {
      return held.millis > longest ? held.reason : this.noPlaceFor(work);
    }
    const margin = this.isMixed(service) ? 1 : ADMITTED_SHARE;
    const wait = this.estimate.untilDispatch(work);
    const kept = this.returns.keptMillis(work, wait);
    return wait + kept > longest * margin ? 'would-miss-deadline' : this.noPlaceFor(work);
  }

  /** Others give way only for work that is let in. */
  private noPlaceFor(work: Work): RefusalReason | undefined {
    return this.makePlace(work) && this.makeRoom(work) ? undefined : 'queue-full';
  }

  /** The limit counts from the first wait; retries don't extend it. */
  boundWait(work: Work): void {
    if (work.holdTimer === null) {
      const end = this.context.now + this.longestWait(work);
      work.holdUntil = work.mayHaveRun ? work.holdUntil : Math.min(work.holdUntil, end);
      work.holdTimer = this.context.schedule(work.holdUntil, { type: 'hold-end', work });
    }
  }

  /**
   * A work that may have run is worth a longer wait than its service's limit: given up, it leaves its callers with
   * `unknown`. It is answered some time before its deadline all the same.
   */
  extendWait(work: Work): void {
    const end = work.firstDeadline - work.terms.deadlineMillis * RESERVED_SHARE;
    work.holdUntil = Math.max(end, this.context.now + LEAST_WAIT_MILLIS);
    this.context.cancelTimer(work.holdTimer);
    work.holdTimer = null;
  }

  /** The bounded wait of a work is over. */
  giveUpWaiting(work: Work): void {
    if (this.mayWaitLate(work)) {
      work.holdUntil = work.deadline - work.service.expectedMillis(this.context.now);
      work.holdTimer = this.context.schedule(work.holdUntil, { type: 'hold-end', work });
      return;
    }
    const reason = noticeWaitOf(work, this.context)?.reason ?? this.reasonForWaiting(work);
    const measured =
      reason === 'would-miss-deadline' || reason === 'upstream-limited' || reason === 'upstream-resting';
    const wait = measured ? this.returnAfter(work) : this.unmeasuredRetryAfter();
    this.answers.refuseWork(work, reason, wait);
  }

  /**
   * Answers the last ones of lanes that have become slower than they were when these were let in: they would only wait
   * for their limit. A lane without an owner waits for news, not for its turn.
   */
  refuseHopeless(service: ServiceState): void {
    for (const lane of service.lanes.allWaiting()) {
      this.refuseHopelessOf(service, lane);
    }
  }

  /** Answers what waits for an upstream and can't be sent there in its time, as what that said, or control, tells. */
  refuseHeldBackFor(upstream: UpstreamState): void {
    const service = this.context.services.get(upstream.record.definition.service);
    if (service === undefined) {
      return;
    }
    const { lanes, definition } = service;
    const waiting = definition.keyed ? lanes.waitingFor(upstream.id) : lanes.allWaiting();
    for (const work of waiting.flatMap(({ queue }) => queue.toArray())) {
      this.refuseHeldBack(work);
    }
  }

  /** Answers a work that can't be sent in its time, as its upstreams said; `true` if so. */
  refuseHeldBack(work: Work): boolean {
    const { now } = this.context;
    const held = noticeWaitOf(work, this.context);
    const hold = Number.isFinite(work.holdUntil) ? work.holdUntil : now + this.longestWait(work);
    const until = Math.min(hold, work.deadline);
    if (held === null || now + held.millis <= until) {
      return false;
    }
    this.answers.refuseWork(work, held.reason, this.retryAfter(work));
    return true;
  }

  /**
   * When a work that is refused for want of room may come back; `null`: no time is of use to it. At a time of its own where times are
   * reserved, else spread around the time at which there is room.
   */
  returnAfter(work: Work): number | null {
    if (this.context.config.returnTimes !== 'reserved') {
      return this.retryAfter(work);
    }
    const wait = this.estimate.untilDispatch(work);
    return wait > 0 && noticeWaitOf(work, this.context) === null
      ? this.returns.promise(work, wait)
      : this.retryAfter(work);
  }

  /** Jittered time in which what waits before a work drains. */
  retryAfter(work: Work): number {
    const held = noticeWaitOf(work, this.context);
    if (held !== null) {
      return retryAfterAtLeast(held.againMillis, this.context.random);
    }
    const wait = this.estimate.untilDispatch(work);
    return retryAfterMillis(wait > 0 ? wait : UNMEASURED_RETRY_MILLIS, this.context.random);
  }

  unmeasuredRetryAfter(): number {
    return retryAfterMillis(UNMEASURED_RETRY_MILLIS, this.context.random);
  }

  private refuseHopelessOf(service: ServiceState, lane: Lane): void {
    const { now } = this.context;
    const isServed = lane.shard === null || this.context.ownerOf(lane.shard) !== undefined;
    const head = lane.queue.peek(service.turnOrder(now));
    const isHeldBack = head !== undefined && noticeWaitOf(head, this.context) !== null;
    if (!isServed || isHeldBack || lane.isPaused(now)) {
      return;
    }
    for (const rank of lane.queue.ranks.filter((candidate) => lane.drainRateOf(candidate).isMeasured)) {
      let last = lane.queue.lastOf(rank);
      while (last !== undefined && now + this.estimate.ofLast(service, lane, rank) > last.holdUntil) {
        this.answers.refuseWork(last, 'would-miss-deadline', this.returnAfter(last));
        last = lane.queue.lastOf(rank);
      }
    }
  }

  private isMixed({ presence }: ServiceState): boolean {
    return presence.isMixed(this.context.now);
  }

  /**
   * How long a work may wait: where ranks compete, as long as its answer still comes in time; elsewhere as its terms say, since there all
   * wait alike.
   */
  private longestWait(work: Work): number {
    const { service, terms } = work;
    if (terms.targetMillis === null || !this.isMixed(service)) {
      return terms.holdMillis;
    }
    const { now } = this.context;
    const inTime = latestStartOf(work, service.expectedMillis(this.context.now)) - now;
    return Math.max(LEAST_WAIT_MILLIS, Math.min(inTime, service.definition.holdLimitMillis));
  }

  /** Whether a work that can't be answered in time any more gets what others leave: nothing waits that can be. */
  private mayWaitLate(work: Work): boolean {
    const { service, lane, holdUntil, deadline } = work;
    if (lane === null || work.terms.targetMillis === null || !this.isMixed(service)) {
      return false;
    }
    const isExtended = holdUntil >= deadline - service.expectedMillis(this.context.now);
    lane.queue.heads(service.turnOrder(this.context.now));
    return !isExtended && !service.isOutOfUse && lane.queue.countAhead(Number.POSITIVE_INFINITY) === 0;
  }

  /** Keeps the bounds of the service and of the lane: the least important work that waits gives way to what is more important. */
  private makePlace(work: Work): boolean {
    const { service, shard } = work;
    const { queueLimit } = service.definition;
    const lane = service.lanes.find(shard);
    const laneLimit = shard === null ? queueLimit : Math.ceil(queueLimit * LANE_SHARE);
    if ((lane?.queue.length ?? 0) >= laneLimit && !this.giveWay(lane?.queue.leastBelow(work.rank))) {
      return false;
    }
    return service.waitingLength < queueLimit || this.giveWay(service.lanes.leastBelow(work.rank));
  }

  /** Refuses waiting work for the sake of more important work. What was sent doesn't wait, so it is never taken back. */
  private giveWay(victim: Work | undefined): boolean {
    if (victim === undefined || victim.mayHaveRun) {
      return false;
    }
    this.answers.refuseWork(victim, 'gave-way', this.returnAfter(victim));
    return true;
  }

  /** Keeps the router's own bound: the least important work that waits gives way. */
  private makeRoom(work: Work): boolean {
    if (this.context.waitingLength() < WAITING_LIMIT) {
      return true;
    }
    let victim: Work | undefined;
    for (const { lanes } of this.context.services.values()) {
      const candidate = lanes.leastBelow(victim?.rank ?? work.rank);
      victim = candidate ?? victim;
    }
    return this.giveWay(victim);
  }

  private reasonForWaiting(work: Work): RefusalReason {
    const { now } = this.context;
    if (work.service.isOutOfUse) {
      return 'no-upstream';
    }
    if (work.shard !== null) {
      const owner = this.context.ownerOf(work.shard);
      const owned = owner !== undefined && !owner.upstream.evidence.isToldLeaving;
      return owned ? 'would-miss-deadline' : 'no-owner';
    }
    const takesWork = work.service.upstreams.some(
      (upstream) => upstream.evidence.standing(now) !== 'leaving' && !upstream.ejection.isEjected(now),
    );
    return takesWork ? 'would-miss-deadline' : 'no-upstream';
  }
}
