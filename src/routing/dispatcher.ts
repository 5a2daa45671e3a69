/** Sends work to upstreams, or lets it wait within bounds. */
import type { FenceCredentials } from '../lease/types.js';
import type { ShardId } from '../model/identifiers.js';
import { PRIORITY_CLASSES } from '../model/service.js';
import type { Answers } from './answers.js';
import type { Lane } from './lane-table.js';
import { policyContextOf, policyUpstreamOf } from './policy-input.js';
import { retryAfterMillis, UNMEASURED_RETRY_MILLIS } from './retry-after.js';
import type { RouterContext } from './router-context.js';
import { capacityOf, type ServiceState } from './service-state.js';
import type { RefusalReason } from './types.js';
import type { UpstreamState } from './upstream-state.js';
import type { Work } from './work.js';

/** Requests that a router keeps waiting over all services; beyond it, less important ones make room. */
const WAITING_LIMIT = 10_000;
/** Share of a service's queue that one shard may fill. */
const LANE_SHARE = 0.5;
/** How often waiting work is looked at without an event. */
const WAKE_MILLIS = 25;

type Placement = 'dispatched' | 'waits' | 'answered';

/** Where a shard's requests go. */
interface Owner {
  readonly upstream: UpstreamState;
  readonly epoch: number;
  readonly incarnation: string;
}

export class Dispatcher {
  private nextAttempt = 1;

  constructor(
    private readonly context: RouterContext,
    private readonly answers: Answers,
  ) {}

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
      this.answers.refuseWork(work, refusal, this.retryAfter(work.service));
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

  /** The bounded wait of a work is over. */
  giveUpWaiting(work: Work): void {
    const reason = this.reasonForWaiting(work);
    const measured = reason === 'would-miss-deadline';
    const wait = measured ? this.retryAfter(work.service) : this.unmeasuredRetryAfter();
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

  /** Who owns a shard now, if a request may go there. */
  ownerOf(shard: ShardId): Owner | undefined {
    const record = this.context.view.shard(shard);
    if (record === undefined || record.owner === null || record.incarnation === null) {
      return undefined;
    }
    const upstream = this.context.upstreams.get(record.owner);
    if (upstream === undefined) {
      return undefined;
    }
    return { upstream, epoch: record.epoch, incarnation: record.incarnation };
  }

  /** Jittered time in which the waiting work of a service drains. */
  retryAfter(service: ServiceState): number {
    const { now, random } = this.context;
    const rate = service.drainRate.perMilli(now, service.capacityPerMilli(now));
    const wait = rate > 0 ? (service.waitingLength + 1) / rate : UNMEASURED_RETRY_MILLIS;
    return retryAfterMillis(wait, random);
  }

  unmeasuredRetryAfter(): number {
    return retryAfterMillis(UNMEASURED_RETRY_MILLIS, this.context.random);
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
    const owner = this.ownerOf(shard);
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
    const attempt = {
      number: this.nextAttempt++,
      work,
      upstream,
      startedAt: context.now,
      epoch: credentials?.epoch ?? null,
    };
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
    const { now } = this.context;
    const end = Math.min(work.deadline, now + holdLimitMillis);
    return now + this.expectedWait(work) > end ? 'would-miss-deadline' : undefined;
  }

  /** Measured time until a work that joins the queue now would be dispatched; 0 while nothing is known. */
  private expectedWait(work: Work): number {
    const { service } = work;
    const { now } = this.context;
    if (work.shard === null) {
      const rate = service.drainRate.perMilli(now, service.capacityPerMilli(now));
      return rate > 0 ? service.lanes.length / rate : 0;
    }
    const owner = this.ownerOf(work.shard);
    if (owner === undefined) {
      return 0;
    }
    const rate = owner.upstream.drainRate.perMilli(now, capacityOf(owner.upstream));
    return service.lanes.lengthFor(owner.upstream.id) / rate;
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
    this.answers.refuseWork(victim, 'queue-full', this.retryAfter(least));
    return true;
  }

  private enqueue(work: Work, place: 'front' | 'back'): void {
    const { service } = work;
    const owner = work.shard === null ? null : (this.context.view.shard(work.shard)?.owner ?? null);
    const lane = service.lanes.obtain(work.shard, owner);
    service.lanes.enqueue(lane, work, place);
    work.phase = 'queued';
    this.boundWait(work);
    this.scheduleWake(service);
  }

  /** The limit counts from the first wait; retries don't extend it. */
  private boundWait(work: Work): void {
    if (work.holdTimer === null) {
      const end = this.context.now + work.service.definition.holdLimitMillis;
      work.holdUntil = Math.min(work.holdUntil, end);
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
      const owner = this.ownerOf(work.shard);
      const owned = owner !== undefined && !owner.upstream.evidence.operatorLeaving;
      return owned ? 'would-miss-deadline' : 'no-owner';
    }
    const takesWork = work.service.upstreams.some(
      (upstream) => upstream.evidence.standing(now) !== 'leaving' && !upstream.ejection.isEjected(now),
    );
    return takesWork ? 'would-miss-deadline' : 'no-upstream';
  }
}
