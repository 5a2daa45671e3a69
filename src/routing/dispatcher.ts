/** Dispatches request groups to upstreams, or queues them within bounds. */
import type { ShardId } from '../model/identifiers.js';
import { DEFAULT_WARMUP_BOUNDS } from '../model/warmup-bounds.js';
import type { Answers } from './answers.js';
import { AttemptStarter } from './attempt-starter.js';
import { STOPPING_RETRY_MILLIS } from './planned-stop.js';
import { policyContextOf, policyUpstreamOf } from './policy-input.js';
import type { Admission } from './queue/admission.js';
import { compareSlack, type DispatchOrder } from './queue/ranked-queue.js';
import { retryAfterMillis } from './queue/retry-after.js';
import type { ShardQueue } from './queue/shard-queues.js';
import type { RequestGroup } from './request-group.js';
import type { RouterContext } from './router-context.js';
import type { ServiceState } from './service-state.js';
import type { UpstreamState } from './upstream/upstream-state.js';

/** Interval at which waiting groups are rechecked without an event. */
const WAKE_MILLIS = 25;
/** When a caller may come back whose request reaches no upstream: paths are checked about as often. */
const NO_PATH_RETRY_MILLIS = 250;
/** The most important rank: if no slot is free for it, none is free for any rank. */
const TOP_RANK = 0;

type Placement = 'dispatched' | 'waits' | 'answered';

export class Dispatcher {
  private readonly attempts: AttemptStarter;

  constructor(
    private readonly context: RouterContext,
    private readonly answers: Answers,
    private readonly admission: Admission,
  ) {
    this.attempts = new AttemptStarter(context);
  }

  /** Dispatches a group now if possible; otherwise queues it, or refuses it immediately if waiting can't succeed. */
  admit(group: RequestGroup): void {
    if (!this.locate(group)) {
      return;
    }
    this.admission.returns.matchReservation(group);
    const shardQueue = group.service.queues.find(group.shard);
    const isFirst = shardQueue === undefined || wouldBeFirstIn(shardQueue, group, this.context.now);
    if (isFirst && this.place(group) !== 'waits') {
      return;
    }
    const refusal = this.admission.refusalOf(group);
    if (refusal !== undefined) {
      this.context.hasRefusedAtOwner ||= group.shard !== null;
      this.answers.refuseGroup(group, refusal, this.admission.capacityRetryAfter(group));
      return;
    }
    this.enqueue(group, group.isPromisedReturn ? 'front' : 'back');
  }

  /** Puts a group back at the front of its queue, if its attempt provably did not run or it may be repeated. */
  requeue(group: RequestGroup): void {
    if (!this.locate(group)) {
      return;
    }
    if (this.context.now >= group.holdUntil || group.service.isOutOfUse) {
      this.admission.onWaitEnd(group);
      return;
    }
    if (this.admission.refuseBlocked(group)) {
      return;
    }
    this.enqueue(group, 'front');
    if (group.shardQueue !== null) {
      this.drainOne(group.service, group.shardQueue);
    }
  }

  /** Dispatches groups that wait for one upstream, or for any upstream of its service. */
  drainUpstream(upstream: UpstreamState): void {
    const service = this.context.services.get(upstream.record.definition.service);
    if (service === undefined || service.queues.length === 0) {
      return;
    }
    if (service.definition.keyed) {
      this.drainOwner(service, upstream);
    } else {
      this.drainQueue(service, service.queues.find(null));
    }
  }

  /** Dispatches all groups of a service that can be sent now. */
  drainService(service: ServiceState): void {
    if (service.queues.length === 0) {
      return;
    }
    if (!service.definition.keyed) {
      this.drainQueue(service, service.queues.find(null));
      return;
    }
    for (const upstream of service.upstreams) {
      this.drainOwner(service, upstream);
    }
  }

  /** Rechecks the waiting groups of a service. */
  wake(service: ServiceState): void {
    service.wakeScheduled = false;
    service.queues.prune(this.context.now);
    this.drainService(service);
    this.admission.refuseExpectedLate(service);
    this.scheduleWake(service);
  }

  /** Reassigns waiting groups to queues after keys were mapped to other shards. */
  relocate(service: ServiceState): void {
    const waitingGroups = service.queues.allGroups();
    for (const group of waitingGroups) {
      service.queues.remove(group);
      group.phase = 'new';
    }
    for (const group of waitingGroups) {
      if (this.locate(group)) {
        this.enqueue(group, 'back');
      }
    }
  }

  /** Finds the shard of a group's key; refuses the group if there is none. */
  private locate(group: RequestGroup): boolean {
    const { definition } = group.service;
    const { view } = this.context;
    if (group.shardRevision === view.revision) {
      return true;
    }
    group.shard = null;
    if (!definition.keyed) {
      group.shardRevision = view.revision;
      return true;
    }
    const { key } = group.request;
    const shard = key === null ? undefined : view.shardOfKey(definition.name, key);
    if (shard === undefined) {
      this.answers.refuseGroup(group, 'key-required', null);
      return false;
    }
    group.shard = shard;
    group.loadShard = view.hasRanges(definition.name) ? null : shard;
    group.shardRevision = view.revision;
    return true;
  }

  private drainQueue(service: ServiceState, shardQueue: ShardQueue | undefined): void {
    const order = service.dequeueOrder(this.context.now);
    while (shardQueue !== undefined && this.placeFirst(shardQueue, order)) {
      // Continues until no group in the queue can be dispatched.
    }
    this.scheduleWake(service);
  }

  /** Dispatches the first group of a queue that can be sent; returns `false` if none can. */
  private placeFirst(shardQueue: ShardQueue, order: DispatchOrder): boolean {
    let waitingRank = Number.POSITIVE_INFINITY;
    for (const head of shardQueue.queue.heads(order)) {
      // If a group has to wait, so does every other group of its rank or a less important one.
      if (head.rank < waitingRank) {
        if (this.place(head) !== 'waits') {
          return true;
        }
        waitingRank = head.rank;
      }
    }
    return false;
  }

  /** Dispatches one request of each shard in turn, so that a hot shard doesn't starve the others; the most important ranks first. */
  private drainOwner(service: ServiceState, upstream: UpstreamState): void {
    if (upstream.isLimited) {
      this.drainLimited(service, upstream);
      return;
    }
    const order = service.dequeueOrder(this.context.now);
    let hasProgress = true;
    while (hasProgress && upstream.hasSlot(this.context.now, TOP_RANK)) {
      hasProgress = false;
      for (const shardQueue of service.queues.readyQueues(upstream.id, order)) {
        hasProgress = this.drainOne(service, shardQueue) || hasProgress;
      }
    }
    this.scheduleWake(service);
  }

  /** For a rate-limited upstream: dispatches the most important groups first, and among equals the one with the least time left. */
  private drainLimited(service: ServiceState, upstream: UpstreamState): void {
    const order = { ...service.dequeueOrder(this.context.now), byDeadline: true };
    let hasProgress = true;
    while (hasProgress && upstream.hasSlot(this.context.now, TOP_RANK)) {
      const shardQueues = service.queues.readyQueues(upstream.id, order);
      const heads = shardQueues.flatMap(({ queue }) => queue.peek(order) ?? []);
      const first = heads.reduce<RequestGroup | undefined>(
        (best, group) => (best === undefined || compareSlack(group, best, true) < 0 ? group : best),
        undefined,
      );
      hasProgress = first !== undefined && this.place(first) !== 'waits';
    }
    this.scheduleWake(service);
  }

  private drainOne(service: ServiceState, shardQueue: ShardQueue): boolean {
    if (
      shardQueue.isPaused(this.context.now) ||
      !this.placeFirst(shardQueue, service.dequeueOrder(this.context.now))
    ) {
      return false;
    }
    service.queues.rotate(shardQueue);
    return true;
  }

  /** Dispatches a group if it can be sent now. This is the last check of the clock before anything is sent. */
  private place(group: RequestGroup): Placement {
    const { now, lease } = this.context;
    if (!lease.isValid(now)) {
      this.answers.refuseGroup(group, 'no-configuration', this.admission.unmeasuredRetryAfter());
      return 'answered';
    }
    if (now >= group.deadline) {
      this.answers.refuseGroup(group, 'deadline-passed', null);
      return 'answered';
    }
    if (this.context.crashes.isRefusedAtDispatch(group.request)) {
      // Every request that is sent passes this check: queued, held, claimed, joined or retried.
      this.answers.refuseQuarantined(group);
      return 'answered';
    }
    if (group.needsClaim && group.claim?.state !== 'granted') {
      // The service was declared non-repeatable while the request waited: the caller has to retry with an idempotency key.
      this.answers.refuseGroup(group, 'idempotency-key-required', null);
      return 'answered';
    }
    if (this.isTooLate(group)) {
      this.answers.refuseGroup(group, 'stopping', STOPPING_RETRY_MILLIS);
      return 'answered';
    }
    if (this.isOutOfReach(group)) {
      const wait = retryAfterMillis(NO_PATH_RETRY_MILLIS, this.context.random);
      this.answers.refuseGroup(group, 'no-path', wait);
      return 'answered';
    }
    return group.shard === null ? this.placeAnywhere(group) : this.placeAtOwner(group, group.shard);
  }

  /** Whether a planned stop has no time left for a group that has not run. One that may have run can only gain by another attempt. */
  private isTooLate(group: RequestGroup): boolean {
    const { plannedStop, now } = this.context;
    if (plannedStop === null || group.mayHaveRun) {
      return false;
    }
    const { deadline, service, isRepeatable } = group;
    const expectedMillis = service.expectedMillis(now);
    return !plannedStop.mayStart({ deadline, expectedMillis, isRepeatable }, now);
  }

  /** Whether nothing comes back from any upstream that may serve a group. */
  private isOutOfReach({ service, shard }: RequestGroup): boolean {
    const { now, paths } = this.context;
    if (!paths.isAnyOutOfReach) {
      return false;
    }
    if (shard !== null) {
      const owner = this.context.ownerOf(shard);
      return owner !== undefined && paths.isOutOfReach(owner.upstream);
    }
    const able = service.upstreams.filter(({ evidence }) => evidence.standing(now) !== 'leaving');
    return able.length > 0 && able.every((upstream) => paths.isOutOfReach(upstream));
  }

  private placeAnywhere(group: RequestGroup): Placement {
    const { now, random, config, turn } = this.context;
    const { service } = group;
    const { warmupBounds = DEFAULT_WARMUP_BOUNDS } = config;
    const cold =
      service.definition.warmup === undefined
        ? undefined
        : service.findColdUpstream(config.zone, turn, warmupBounds, now);
    if (cold !== undefined && cold !== group.avoid) {
      cold.warmupState.useTimeSlot(turn.inZone, warmupBounds, now);
      this.attempts.start(group, cold, null, null);
      return 'dispatched';
    }
    const candidates = service.candidates(now, group.avoid, group.rank, waitedShareOf(group, now));
    if (candidates.length === 0) {
      return 'waits';
    }
    const weigh = this.weigherOf(group);
    const upstream = service.picker.pick({
      candidates,
      zone: config.zone,
      now,
      random,
      inTimeMillis: group.terms.inTimeMillis,
      zoneCapacity: this.context.fleet.capacityOf(service.name, config.zone, now),
      weigh,
    });
    this.attempts.start(group, upstream, null, null);
    return 'dispatched';
  }

  private placeAtOwner(group: RequestGroup, shard: ShardId): Placement {
    const owner = this.context.ownerOf(shard);
    const { now, turn, config } = this.context;
    if (
      owner === undefined ||
      owner.upstream.evidence.isDeclaredDraining ||
      !owner.upstream.hasSlot(now, group.rank, waitedShareOf(group, now))
    ) {
      return 'waits';
    }
    const { epoch, incarnation, upstream } = owner;
    if (upstream.warmupState.isCold(now)) {
      const { warmupBounds = DEFAULT_WARMUP_BOUNDS } = config;
      if (!upstream.warmupState.hasOwnerTimeSlot(turn, warmupBounds, now)) {
        return 'waits';
      }
      upstream.warmupState.useTimeSlot(turn.inAll, warmupBounds, now);
    }
    const hasFence = upstream.record.definition.announced === undefined;
    const key = group.request.key as string;
    const credentials = hasFence ? { shard, epoch, incarnation, key } : null;
    this.attempts.start(group, upstream, { shard, epoch, endsAttempts: hasFence }, credentials);
    return 'dispatched';
  }

  private weigherOf(group: RequestGroup): (upstream: UpstreamState) => number {
    const { policy } = group.service;
    if (policy === null || !policy.hasWeighRules) {
      return () => 1;
    }
    const weigh = policy.weigher(policyContextOf(group, this.context));
    return (upstream) => weigh(policyUpstreamOf(upstream, this.context.now));
  }

  private enqueue(group: RequestGroup, place: 'front' | 'back'): void {
    const { service } = group;
    const owner = group.shard === null ? null : (this.context.view.shard(group.shard)?.owner ?? null);
    const shardQueue = service.queues.obtain(group.shard, owner);
    if (shardQueue.owner !== owner) {
      // A range that starts at the same key has a new owner; the queue's state applies to the previous one.
      service.queues.reassign(shardQueue, owner);
      shardQueue.resume();
    }
    service.queues.enqueue(shardQueue, group, place, this.context.now);
    group.phase = 'queued';
    this.admission.limitWait(group);
    this.scheduleWake(service);
  }

  private scheduleWake(service: ServiceState): void {
    if (!service.wakeScheduled && service.queues.length > 0) {
      service.wakeScheduled = true;
      this.context.schedule(this.nextWakeAt(service), { type: 'service-wake', service });
    }
  }

  /** The next recheck: after a fixed interval, or earlier when an upstream's pause ends. Waiting groups may be near their deadlines. */
  private nextWakeAt(service: ServiceState): number {
    const { now } = this.context;
    const pauses = service.upstreams
      .map(({ pauseEndsAt: opensAt }) => opensAt)
      .filter((until) => until > now);
    return Math.min(now + WAKE_MILLIS, ...pauses);
  }
}

/** The elapsed share of the time that a group may wait. */
function waitedShareOf({ arrivedAt, holdUntil }: RequestGroup, now: number): number {
  const maxWaitMillis = holdUntil - arrivedAt;
  return maxWaitMillis > 0 ? Math.min(1, (now - arrivedAt) / maxWaitMillis) : 1;
}

/** Whether a newly arrived group would be first in a queue. */
function wouldBeFirstIn(shardQueue: ShardQueue, { rank }: RequestGroup, now: number): boolean {
  return shardQueue.queue.countAhead(rank) === 0 && !shardQueue.isPaused(now);
}
