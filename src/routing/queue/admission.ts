/** Decides whether a request group may wait, for how long, and with which reason and retry delay it is rejected otherwise. */
import type { Answers } from '../answers.js';
import { noticeWaitOf } from '../notices/notice-wait.js';
import type { RequestGroup } from '../request-group.js';
import type { RouterContext } from '../router-context.js';
import type { ServiceState } from '../service-state.js';
import type { RefusalReason } from '../types.js';
import type { UpstreamState } from '../upstream/upstream-state.js';
import { retryAfterAtLeast, retryAfterMillis, UNMEASURED_RETRY_MILLIS } from './retry-after.js';
import { ReturnReservations } from './return-reservations.js';
import type { ShardQueue } from './shard-queues.js';
import { WaitEstimate } from './wait-estimate.js';
import { latestStartOf } from './waiting-class.js';

/** Maximum number of requests waiting in this router over all services; beyond it, less important ones are rejected. */
const MAX_WAITING_REQUESTS = 10_000;
/** Share of a service's queue limit that one shard may use. */
const MAX_SHARD_QUEUE_SHARE = 0.5;
/** A request group that may have run gets one more attempt, however little of its deadline is left. */
const MIN_WAIT_MILLIS = 1;
/** Waiting for a group that may have run ends when this share of its deadline is left. */
const RESERVED_DEADLINE_SHARE = 0.1;
/**
 * A group is admitted only while its estimated wait is below this share of its limit. The margin covers queues that drain slightly more
 * slowly than estimated.
 */
const MAX_ADMITTED_WAIT_SHARE = 0.75;

export class Admission {
  private readonly estimate: WaitEstimate;
  readonly returns: ReturnReservations;

  constructor(
    private readonly context: RouterContext,
    private readonly answers: Answers,
  ) {
    this.estimate = new WaitEstimate(context);
    this.returns = new ReturnReservations(context, this.estimate);
  }

  /** Returns why a group may not wait, or `undefined` if it may. */
  refusalOf(group: RequestGroup): RefusalReason | undefined {
    const { service } = group;
    if (service.isOutOfUse) {
      return 'no-upstream';
    }
    const maxWait = Math.min(group.deadline - this.context.now, this.maxWaitMillis(group));
    const held = noticeWaitOf(group, this.context);
    if (held !== null) {
      return held.millis > maxWait ? held.reason : this.enforceLimits(group);
    }
    const margin = this.isMixed(service) ? 1 : MAX_ADMITTED_WAIT_SHARE;
    const wait = this.estimate.untilDispatch(group);
    const reserved = this.returns.reservedMillis(group, wait);
    return wait + reserved > maxWait * margin ? 'would-miss-deadline' : this.enforceLimits(group);
  }

  /**
   * Enforces the queue limits and returns the reason if a group doesn't fit. It may evict less important groups, so it is called only for a
   * group that is admitted otherwise.
   */
  private enforceLimits(group: RequestGroup): RefusalReason | undefined {
    return this.evictForService(group) && this.evictForRouter(group) ? undefined : 'queue-full';
  }

  /** Starts the timer that bounds the wait. The limit counts from the first wait; retries don't extend it. */
  limitWait(group: RequestGroup): void {
    if (group.holdTimer === null) {
      const end = this.context.now + this.maxWaitMillis(group);
      group.holdUntil = group.mayHaveRun ? group.holdUntil : Math.min(group.holdUntil, end);
      group.holdTimer = this.context.schedule(group.holdUntil, { type: 'hold-end', group: group });
    }
  }

  /**
   * Replaces the service's wait limit for a group that may have run: giving up early would leave its callers with the outcome `unknown`.
   * The wait still ends some time before the deadline.
   */
  extendWait(group: RequestGroup): void {
    const end = group.firstDeadline - group.terms.deadlineMillis * RESERVED_DEADLINE_SHARE;
    group.holdUntil = Math.max(end, this.context.now + MIN_WAIT_MILLIS);
    this.context.cancelTimer(group.holdTimer);
    group.holdTimer = null;
  }

  /** Handles the end of a group's bounded wait. */
  onWaitEnd(group: RequestGroup): void {
    if (this.mayWaitLate(group)) {
      group.holdUntil = group.deadline - group.service.expectedMillis(this.context.now);
      group.holdTimer = this.context.schedule(group.holdUntil, { type: 'hold-end', group: group });
      return;
    }
    const reason = noticeWaitOf(group, this.context)?.reason ?? this.expiryReason(group);
    const measured =
      reason === 'would-miss-deadline' || reason === 'upstream-limited' || reason === 'upstream-resting';
    const wait = measured ? this.capacityRetryAfter(group) : this.unmeasuredRetryAfter();
    this.answers.refuseGroup(group, reason, wait);
  }

  /**
   * Rejects the last groups of queues that now drain more slowly than they did when the groups were admitted, since they would wait until
   * their limit in vain. A queue whose shard has no owner is skipped: it waits for a configuration update, not for free slots.
   */
  refuseExpectedLate(service: ServiceState): void {
    for (const shardQueue of service.queues.allWaiting()) {
      this.refuseExpectedLateIn(service, shardQueue);
    }
  }

  /**
   * Rejects the groups that wait for an upstream and can't be sent there in time because of its own notices or the control plane's.
   */
  refuseBlockedBy(upstream: UpstreamState): void {
    const service = this.context.services.get(upstream.record.definition.service);
    if (service === undefined) {
      return;
    }
    const { queues: lanes, definition } = service;
    const waiting = definition.keyed ? lanes.waitingFor(upstream.id) : lanes.allWaiting();
    for (const group of waiting.flatMap(({ queue }) => queue.toArray())) {
      this.refuseBlocked(group);
    }
  }

  /** Rejects a group that can't be sent in time because of upstream notices; returns whether it did. */
  refuseBlocked(group: RequestGroup): boolean {
    const { now } = this.context;
    const held = noticeWaitOf(group, this.context);
    const hold = Number.isFinite(group.holdUntil) ? group.holdUntil : now + this.maxWaitMillis(group);
    const until = Math.min(hold, group.deadline);
    if (held === null || now + held.millis <= until) {
      return false;
    }
    this.answers.refuseGroup(group, held.reason, this.retryAfter(group));
    return true;
  }

  /**
   * Returns when a group that is rejected for lack of capacity may come back, or `null` if no time is useful to it. In mode `reserved`
   * each caller gets a time of its own; otherwise the times are spread around the moment at which capacity is expected.
   */
  capacityRetryAfter(group: RequestGroup): number | null {
    if (this.context.config.returnTimes !== 'reserved') {
      return this.retryAfter(group);
    }
    const wait = this.estimate.untilDispatch(group);
    return wait > 0 && noticeWaitOf(group, this.context) === null
      ? this.returns.reserve(group, wait)
      : this.retryAfter(group);
  }

  /** Returns the jittered time in which the queue ahead of a group drains. */
  retryAfter(group: RequestGroup): number {
    const held = noticeWaitOf(group, this.context);
    if (held !== null) {
      return retryAfterAtLeast(held.retryAfterMillis, this.context.random);
    }
    const wait = this.estimate.untilDispatch(group);
    return retryAfterMillis(wait > 0 ? wait : UNMEASURED_RETRY_MILLIS, this.context.random);
  }

  unmeasuredRetryAfter(): number {
    return retryAfterMillis(UNMEASURED_RETRY_MILLIS, this.context.random);
  }

  private refuseExpectedLateIn(service: ServiceState, shardQueue: ShardQueue): void {
    const { now } = this.context;
    const isServed = shardQueue.shard === null || this.context.ownerOf(shardQueue.shard) !== undefined;
    const head = shardQueue.queue.peek(service.dequeueOrder(now));
    const isHeldBack = head !== undefined && noticeWaitOf(head, this.context) !== null;
    if (!isServed || isHeldBack || shardQueue.isPaused(now)) {
      return;
    }
    for (const rank of shardQueue.queue.ranks.filter(
      (candidate) => shardQueue.drainRateOf(candidate).isMeasured,
    )) {
      let last = shardQueue.queue.lastOf(rank);
      while (
        last !== undefined &&
        now + this.estimate.untilLast(service, shardQueue, rank) > last.holdUntil
      ) {
        this.answers.refuseGroup(last, 'would-miss-deadline', this.capacityRetryAfter(last));
        last = shardQueue.queue.lastOf(rank);
      }
    }
  }

  private isMixed({ presence }: ServiceState): boolean {
    return presence.isMixed(this.context.now);
  }

  /**
   * Returns how long a group may wait. Where ranks compete, it may wait while it can still be answered within its target; elsewhere its
   * terms decide, since all groups wait alike there.
   */
  private maxWaitMillis(group: RequestGroup): number {
    const { service, terms } = group;
    if (terms.targetMillis === null || !this.isMixed(service)) {
      return terms.holdMillis;
    }
    const { now } = this.context;
    const latestStartMillis = latestStartOf(group, service.expectedMillis(this.context.now)) - now;
    return Math.max(MIN_WAIT_MILLIS, Math.min(latestStartMillis, service.definition.holdLimitMillis));
  }

  /**
   * Returns whether a group that can't be answered within its target any more may use spare capacity: only if no group is waiting that
   * can still be on time.
   */
  private mayWaitLate(group: RequestGroup): boolean {
    const { service, shardQueue, holdUntil, deadline } = group;
    if (shardQueue === null || group.terms.targetMillis === null || !this.isMixed(service)) {
      return false;
    }
    const isExtended = holdUntil >= deadline - service.expectedMillis(this.context.now);
    shardQueue.queue.heads(service.dequeueOrder(this.context.now));
    return !isExtended && !service.isOutOfUse && shardQueue.queue.countAhead(Number.POSITIVE_INFINITY) === 0;
  }

  /** Enforces the queue limits of the service and of the shard by evicting the least important waiting group. */
  private evictForService(group: RequestGroup): boolean {
    const { service, shard } = group;
    const { queueLimit } = service.definition;
    const shardQueue = service.queues.find(shard);
    const shardLimit = shard === null ? queueLimit : Math.ceil(queueLimit * MAX_SHARD_QUEUE_SHARE);
    if (
      (shardQueue?.queue.length ?? 0) >= shardLimit &&
      !this.evict(shardQueue?.queue.evictionCandidate(group.rank))
    ) {
      return false;
    }
    return service.waitingLength < queueLimit || this.evict(service.queues.evictionCandidate(group.rank));
  }

  /** Rejects a waiting group in favour of a more important one. A group that was sent isn't waiting, so it is never evicted. */
  private evict(victim: RequestGroup | undefined): boolean {
    if (victim === undefined || victim.mayHaveRun) {
      return false;
    }
    this.answers.refuseGroup(victim, 'gave-way', this.capacityRetryAfter(victim));
    return true;
  }

  /** Enforces the router's own limit by evicting the least important waiting group of any service. */
  private evictForRouter(group: RequestGroup): boolean {
    if (this.context.waitingLength() < MAX_WAITING_REQUESTS) {
      return true;
    }
    let victim: RequestGroup | undefined;
    for (const { queues: lanes } of this.context.services.values()) {
      const candidate = lanes.evictionCandidate(victim?.rank ?? group.rank);
      victim = candidate ?? victim;
    }
    return this.evict(victim);
  }

  private expiryReason(group: RequestGroup): RefusalReason {
    const { now } = this.context;
    if (group.service.isOutOfUse) {
      return 'no-upstream';
    }
    if (group.shard !== null) {
      const owner = this.context.ownerOf(group.shard);
      const owned = owner !== undefined && !owner.upstream.evidence.isDeclaredDraining;
      return owned ? 'would-miss-deadline' : 'no-owner';
    }
    const isAnyAvailable = group.service.upstreams.some(
      (upstream) => upstream.evidence.standing(now) !== 'leaving' && !upstream.ejection.isEjected(now),
    );
    return isAnyAvailable ? 'would-miss-deadline' : 'no-upstream';
  }
}
