/** Sends work to upstreams, or lets it wait within bounds. */
import type { FenceCredentials } from '../lease/types.js';
import type { ShardId } from '../model/identifiers.js';
import { PRIORITY_CLASSES } from '../model/service.js';
import type { Answers } from './answers.js';
import type { Lane } from './lane-table.js';
import { policyContextOf, policyUpstreamOf } from './policy-input.js';
import { retryAfterMillis, UNMEASURED_RETRY_MILLIS } from './retry-after.js';
import type { RouterContext } from './router-context.js';
import type { ServiceState } from './service-state.js';
import type { RefusalReason } from './types.js';
import type { UpstreamState } from './upstream-state.js';
import { WaitEstimate } from './wait-estimate.js';
import type { Attempt, Work } from './work.js';

/** Requests that a router keeps waiting over all services; beyond it, less important ones make room. */
const WAITING_LIMIT = 10_000;
/** Share of a service's queue that one shard may fill. */
const LANE_SHARE = 0.5;
/** How often waiting work is looked at without an event. */
const WAKE_MILLIS = 25;

/** Work that may have run is tried once more, however little time is left. */
const LEAST_WAIT_MILLIS = 1;
/** Work that may have run is given up when this share of its deadline is left. */
const RESERVED_SHARE = 0.1;
/**
 * Work is let in while its estimated wait is below this share of its limit, so that a lane which then drains a little
 * slower than estimated serves it all the same.
 */
const ADMITTED_SHARE = 0.75;

type Placement = 'dispatched' | 'waits' | 'answered';

export class Dispatcher {
  private nextAttempt = 1;
  private readonly estimate: WaitEstimate;

  constructor(
    private readonly context: RouterContext,
    private readonly answers: Answers,
  ) {
    this.estimate = new WaitEstimate(context);
  }

  /** Dispatches a work that may run now, lets it wait, or refuses it at once if waiting can't end well. */
  admit(work: Work): void {
    if (!this.locate(work)) {
      return;
    }
    const lane = work.service.lanes.find(work.shard);
    const isFirst = lane === undefined || (lane.queue.length === 0 && !lane.isPaused(this.context.now));
    if (isFirst && this.place(work) !== 'waits') {
      return;
    }
    const refusal = this.admissionRefusal(work);
    if (refusal !== undefined) {
      this.answers.refuseWork(work, refusal, this.retryAfter(work));
      return;
    }
    this.enqueue(work, 'back');
  }

  /** Puts a work whose attempt was proved not to have run, or may be repeated, back to the front. */
  requeue(work: Work): void {
    if (!this.locate(work)) {
      return;
    }
    if (this.context.now >= work.holdUntil) {
      this.giveUpWaiting(work);
      return;
    }
    this.enqueue(work, 'front');
    if (work.lane !== null) {
      this.drainOne(work.service, work.lane);
    }
  }

  /**
   * A work that may have run is worth a longer wait than its service's limit: given up, it leaves its callers with
   * `unknown`. It is answered some time before its deadline all the same.
   */
  extendWait(work: Work): void {
    const end = work.firstDeadline - work.service.definition.deadlineMillis * RESERVED_SHARE;
    work.holdUntil = Math.max(end, this.context.now + LEAST_WAIT_MILLIS);
    this.context.cancelTimer(work.holdTimer);
    work.holdTimer = null;
  }

  /** The bounded wait of a work is over. */
  giveUpWaiting(work: Work): void {
    const reason = this.reasonForWaiting(work);
    const measured = reason === 'would-miss-deadline';
    const wait = measured ? this.retryAfter(work) : this.unmeasuredRetryAfter();
    this.answers.refuseWork(work, reason, wait);
  }

  /** Dispatches what waits for one upstream, or for any of its service. */
  drainUpstream(upstream: UpstreamState): void {
    const service = this.context.services.get(upstream.record.definition.service);
    if (service === undefined || service.lanes.length === 0) {
      return;
    }
    if (service.definition.keyed) {
      this.drainOwner(service, upstream);
    } else {
      this.drainLane(service, service.lanes.find(null));
    }
  }

  /** Dispatches all that can go. */
  drainService(service: ServiceState): void {
    if (service.lanes.length === 0) {
      return;
    }
    if (!service.definition.keyed) {
      this.drainLane(service, service.lanes.find(null));
      return;
    }
    for (const upstream of service.upstreams) {
      this.drainOwner(service, upstream);
    }
  }

  /** Looks again at waiting work of a service. */
  wake(service: ServiceState): void {
    service.wakeScheduled = false;
    service.lanes.prune(this.context.now);
    this.drainService(service);
    for (const lane of service.lanes.allWaiting()) {
      this.refuseHopeless(service, lane);
    }
    this.scheduleWake(service);
  }

  /** Sorts waiting work anew after keys were mapped to other shards. */
  relocate(service: ServiceState): void {
    const waiting = service.lanes.allWork();
    for (const work of waiting) {
      service.lanes.remove(work);
      work.phase = 'new';
    }
    for (const work of waiting) {
      if (this.locate(work)) {
        this.enqueue(work, 'back');
      }
    }
  }

  /** Jittered time in which what waits before a work drains. */
  retryAfter(work: Work): number {
    const wait = this.estimate.untilDispatch(work);
    return retryAfterMillis(wait > 0 ? wait : UNMEASURED_RETRY_MILLIS, this.context.random);
  }

  unmeasuredRetryAfter(): number {
    return retryAfterMillis(UNMEASURED_RETRY_MILLIS, this.context.random);
  }

  /**
   * Answers the last ones of a lane that has become slower than it was when they were let in: they would only wait for
   * their limit. A lane without an owner waits for news, not for its turn.
   */
  private refuseHopeless(service: ServiceState, lane: Lane): void {
    const { now } = this.context;
    const isServed = lane.shard === null || this.context.ownerOf(lane.shard) !== undefined;
    if (!isServed || lane.isPaused(now) || !lane.drainRate.isMeasured) {
      return;
    }
    let last = lane.queue.peekLast();
    while (last !== undefined && now + this.estimate.ofLast(service, lane) > last.holdUntil) {
      this.answers.refuseWork(last, 'would-miss-deadline', this.retryAfter(last));
      last = lane.queue.peekLast();
    }
  }

  /** Finds the shard of a work's key; answers it if there is none. */
  private locate(work: Work): boolean {
    const { definition } = work.service;
    const { view } = this.context;
    if (work.shardRevision === view.revision) {
      return true;
    }
    work.shard = null;
    if (!definition.keyed) {
      work.shardRevision = view.revision;
      return true;
    }
    const { key } = work.request;
    const shard = key === null ? undefined : view.shardOfKey(definition.name, key);
    if (shard === undefined) {
      this.answers.refuseWork(work, 'key-required', null);
      return false;
    }
    work.shard = shard;
    work.shardRevision = view.revision;
    return true;
  }

  private drainLane(service: ServiceState, lane: Lane | undefined): void {
    let head = lane?.queue.peek();
    while (head !== undefined && this.place(head) !== 'waits') {
      head = lane?.queue.peek();
    }
    this.scheduleWake(service);
  }

  /** One request of each shard in turn, so that a hot one doesn't starve the others. */
  private drainOwner(service: ServiceState, upstream: UpstreamState): void {
    let progress = true;
    while (progress && upstream.hasSlot(this.context.now)) {
      progress = false;
      for (const lane of service.lanes.waitingFor(upstream.id)) {
        progress = this.drainOne(service, lane) || progress;
      }
    }
    this.scheduleWake(service);
  }

  private drainOne(service: ServiceState, lane: Lane): boolean {
    const head = lane.queue.peek();
    if (head === undefined || lane.isPaused(this.context.now) || this.place(head) === 'waits') {
      return false;
    }
    service.lanes.rotate(lane);
    return true;
  }

  /** Dispatches a work if it may go now. The last look at the clock before anything is sent. */
  private place(work: Work): Placement {
    const { now, lease } = this.context;
    if (!lease.isValid(now)) {
      this.answers.refuseWork(work, 'no-configuration', this.unmeasuredRetryAfter());
      return 'answered';
    }
    if (now >= work.deadline) {
      this.answers.refuseWork(work, 'deadline-passed', null);
      return 'answered';
    }
    if (!work.service.definition.repeatable && work.claim?.state !== 'granted') {
      // The service was declared non-repeatable while the request waited: the caller has to come again with a claim.
      this.answers.refuseWork(work, 'idempotency-key-required', null);
      return 'answered';
    }
    return work.shard === null ? this.placeAnywhere(work) : this.placeAtOwner(work, work.shard);
  }

  private placeAnywhere(work: Work): Placement {
    const { now, random, config } = this.context;
    const { service } = work;
    const candidates = service.candidates(now, work.avoid);
    if (candidates.length === 0) {
      return 'waits';
    }
    const weigh = this.weigherOf(work);
    const upstream = service.picker.pick({ candidates, zone: config.zone, now, random, weigh });
    this.dispatch(work, upstream, null);
    return 'dispatched';
  }

  private placeAtOwner(work: Work, shard: ShardId): Placement {
    const owner = this.context.ownerOf(shard);
    const { now } = this.context;
    if (owner === undefined || owner.upstream.evidence.operatorLeaving || !owner.upstream.hasSlot(now)) {
      return 'waits';
    }
    this.dispatch(work, owner.upstream, {
      shard,
      epoch: owner.epoch,
      incarnation: owner.incarnation,
      key: work.request.key as string,
    });
    return 'dispatched';
  }

  private weigherOf(work: Work): (upstream: UpstreamState) => number {
    const { policy } = work.service;
    if (policy === null || !policy.hasWeighRules) {
      return () => 1;
    }
    const weigh = policy.weigher(policyContextOf(work, this.context));
    return (upstream) => weigh(policyUpstreamOf(upstream, this.context.now));
  }

  private dispatch(work: Work, upstream: UpstreamState, credentials: FenceCredentials | null): void {
    const { context } = this;
    const { service } = work;
    const attempt: Attempt = {
      number: this.nextAttempt++,
      work,
      upstream,
      sentFor: work.request.request,
      startedAt: context.now,
      grant: credentials,
      overSince: null,
      abandoned: false,
    };
    work.lane?.drainRate.took(context.now);
    service.lanes.remove(work);
    if (work.attempts === 0) {
      service.retryBudget.firstAttempt();
    }
    work.attempts += 1;
    work.attempt = attempt;
    work.phase = 'in-flight';
    service.inFlight += 1;
    upstream.dispatched();
    context.attempts.set(attempt.number, attempt);
    context.emit({
      type: 'dispatch',
      request: work.request.request,
      attempt: attempt.number,
      upstream: upstream.id,
      address: upstream.record.definition.address,
      credentials,
      deadlineMillis: work.deadline - context.now,
      wholeAnswerBytes: service.definition.wholeAnswerBytes,
    });
  }

  /** Why a work may not wait, if it may not. */
  private admissionRefusal(work: Work): RefusalReason | undefined {
    const { service } = work;
    const { queueLimit, holdLimitMillis } = service.definition;
    const laneLength = service.lanes.find(work.shard)?.queue.length ?? 0;
    const laneLimit = work.shard === null ? queueLimit : Math.ceil(queueLimit * LANE_SHARE);
    if (service.waitingLength >= queueLimit || laneLength >= laneLimit || !this.makeRoom(work)) {
      return 'queue-full';
    }
    const longest = Math.min(work.deadline - this.context.now, holdLimitMillis);
    return this.estimate.untilDispatch(work) > longest * ADMITTED_SHARE ? 'would-miss-deadline' : undefined;
  }

  /** Keeps the router's own bound: the oldest waiting work of a less important service gives way. */
  private makeRoom(work: Work): boolean {
    if (this.context.waitingLength() < WAITING_LIMIT) {
      return true;
    }
    const rank = PRIORITY_CLASSES.indexOf(work.service.definition.priority);
    let least: ServiceState | undefined;
    let leastRank = rank;
    for (const service of this.context.services.values()) {
      const serviceRank = PRIORITY_CLASSES.indexOf(service.definition.priority);
      if (service.lanes.length > 0 && serviceRank > leastRank) {
        least = service;
        leastRank = serviceRank;
      }
    }
    const victim = least?.lanes.allWaiting()[0]?.queue.peek();
    if (least === undefined || victim === undefined) {
      return false;
    }
    this.answers.refuseWork(victim, 'queue-full', this.retryAfter(victim));
    return true;
  }

  private enqueue(work: Work, place: 'front' | 'back'): void {
    const { service } = work;
    const owner = work.shard === null ? null : (this.context.view.shard(work.shard)?.owner ?? null);
    const lane = service.lanes.obtain(work.shard, owner);
    service.lanes.enqueue(lane, work, place, this.context.now);
    work.phase = 'queued';
    this.boundWait(work);
    this.scheduleWake(service);
  }

  /** The limit counts from the first wait; retries don't extend it. */
  private boundWait(work: Work): void {
    if (work.holdTimer === null) {
      const end = this.context.now + work.service.definition.holdLimitMillis;
      work.holdUntil = work.mayHaveRun ? work.holdUntil : Math.min(work.holdUntil, end);
      work.holdTimer = this.context.schedule(work.holdUntil, { type: 'hold-end', work });
    }
  }

  private scheduleWake(service: ServiceState): void {
    if (!service.wakeScheduled && service.lanes.length > 0) {
      service.wakeScheduled = true;
      this.context.schedule(this.context.now + WAKE_MILLIS, { type: 'service-wake', service });
    }
  }

  private reasonForWaiting(work: Work): RefusalReason {
    const { now } = this.context;
    if (work.shard !== null) {
      const owner = this.context.ownerOf(work.shard);
      const owned = owner !== undefined && !owner.upstream.evidence.operatorLeaving;
      return owned ? 'would-miss-deadline' : 'no-owner';
    }
    const takesWork = work.service.upstreams.some(
      (upstream) => upstream.evidence.standing(now) !== 'leaving' && !upstream.ejection.isEjected(now),
    );
    return takesWork ? 'would-miss-deadline' : 'no-upstream';
  }
}
