/** Sends work to upstreams, or lets it wait within bounds. */
import type { ShardId } from '../model/identifiers.js';
import { DEFAULT_WARMUP_BOUNDS } from '../model/warmup-bounds.js';
import type { Answers } from './answers.js';
import { AttemptStarter } from './attempt-starter.js';
import { policyContextOf, policyUpstreamOf } from './policy-input.js';
import type { Admission } from './queue/admission.js';
import type { Lane } from './queue/lane-table.js';
import { compareSlack, type TurnOrder } from './queue/ranked-queue.js';
import type { RouterContext } from './router-context.js';
import type { ServiceState } from './service-state.js';
import type { UpstreamState } from './upstream/upstream-state.js';
import type { Work } from './work.js';

/** How often waiting work is looked at without an event. */
const WAKE_MILLIS = 25;
/** Who may go if anybody may. */
const MOST_IMPORTANT = 0;

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

  /** Dispatches a work that may run now, lets it wait, or refuses it at once if waiting can't end well. */
  admit(work: Work): void {
    if (!this.locate(work)) {
      return;
    }
    this.admission.returns.matchPromise(work);
    const lane = work.service.lanes.find(work.shard);
    const isFirst = lane === undefined || isNextIn(lane, work, this.context.now);
    if (isFirst && this.place(work) !== 'waits') {
      return;
    }
    const refusal = this.admission.refusalOf(work);
    if (refusal !== undefined) {
      this.context.hasRefusedAtOwner ||= work.shard !== null;
      this.answers.refuseWork(work, refusal, this.admission.returnAfter(work));
      return;
    }
    this.enqueue(work, work.isExpected ? 'front' : 'back');
  }

  /** Puts a work whose attempt was proved not to have run, or may be repeated, back to the front. */
  requeue(work: Work): void {
    if (!this.locate(work)) {
      return;
    }
    if (this.context.now >= work.holdUntil || work.service.isOutOfUse) {
      this.admission.giveUpWaiting(work);
      return;
    }
    if (this.admission.refuseHeldBack(work)) {
      return;
    }
    this.enqueue(work, 'front');
    if (work.lane !== null) {
      this.drainOne(work.service, work.lane);
    }
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
    this.admission.refuseHopeless(service);
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
    work.loadName = view.hasRanges(definition.name) ? null : shard;
    work.shardRevision = view.revision;
    return true;
  }

  private drainLane(service: ServiceState, lane: Lane | undefined): void {
    const order = service.turnOrder(this.context.now);
    while (lane !== undefined && this.placeFirst(lane, order)) {
      // Goes on until nobody in the lane may go.
    }
    this.scheduleWake(service);
  }

  /** Dispatches the first work of a lane that may go; `false` if none may. */
  private placeFirst(lane: Lane, order: TurnOrder): boolean {
    let waitingRank = Number.POSITIVE_INFINITY;
    for (const head of lane.queue.heads(order)) {
      // Where one waits, nobody on its rank or a less important one may go.
      if (head.rank < waitingRank) {
        if (this.place(head) !== 'waits') {
          return true;
        }
        waitingRank = head.rank;
      }
    }
    return false;
  }

  /** One request of each shard in turn, so that a hot one doesn't starve the others; the most important ranks first. */
  private drainOwner(service: ServiceState, upstream: UpstreamState): void {
    if (upstream.isLimited) {
      this.drainLimited(service, upstream);
      return;
    }
    const order = service.turnOrder(this.context.now);
    let progress = true;
    while (progress && upstream.hasSlot(this.context.now, MOST_IMPORTANT)) {
      progress = false;
      for (const lane of service.lanes.inTurn(upstream.id, order)) {
        progress = this.drainOne(service, lane) || progress;
      }
    }
    this.scheduleWake(service);
  }

  /** Where few may go, the most important do, and of those the ones with the least time left. */
  private drainLimited(service: ServiceState, upstream: UpstreamState): void {
    const order = { ...service.turnOrder(this.context.now), byDeadline: true };
    let progress = true;
    while (progress && upstream.hasSlot(this.context.now, MOST_IMPORTANT)) {
      const lanes = service.lanes.inTurn(upstream.id, order);
      const heads = lanes.flatMap(({ queue }) => queue.peek(order) ?? []);
      const first = heads.reduce<Work | undefined>(
        (best, work) => (best === undefined || compareSlack(work, best, true) < 0 ? work : best),
        undefined,
      );
      progress = first !== undefined && this.place(first) !== 'waits';
    }
    this.scheduleWake(service);
  }

  private drainOne(service: ServiceState, lane: Lane): boolean {
    if (lane.isPaused(this.context.now) || !this.placeFirst(lane, service.turnOrder(this.context.now))) {
      return false;
    }
    service.lanes.rotate(lane);
    return true;
  }

  /** Dispatches a work if it may go now. The last look at the clock before anything is sent. */
  private place(work: Work): Placement {
    const { now, lease } = this.context;
    if (!lease.isValid(now)) {
      this.answers.refuseWork(work, 'no-configuration', this.admission.unmeasuredRetryAfter());
      return 'answered';
    }
    if (now >= work.deadline) {
      this.answers.refuseWork(work, 'deadline-passed', null);
      return 'answered';
    }
    if (this.context.crashes.isRefusedAtDispatch(work.request)) {
      // The one place that everything passes which is sent: queued, held, claimed, joined or tried again.
      this.answers.refuseQuarantined(work);
      return 'answered';
    }
    if (work.needsClaim && work.claim?.state !== 'granted') {
      // The service was declared non-repeatable while the request waited: the caller has to come again with a claim.
      this.answers.refuseWork(work, 'idempotency-key-required', null);
      return 'answered';
    }
    return work.shard === null ? this.placeAnywhere(work) : this.placeAtOwner(work, work.shard);
  }

  private placeAnywhere(work: Work): Placement {
    const { now, random, config, turn } = this.context;
    const { service } = work;
    const { warmupBounds = DEFAULT_WARMUP_BOUNDS } = config;
    const cold =
      service.definition.warmup === undefined
        ? undefined
        : service.coldInTurn(config.zone, turn, warmupBounds, now);
    if (cold !== undefined && cold !== work.avoid) {
      cold.warmth.useTurn(turn.inZone, warmupBounds, now);
      this.attempts.start(work, cold, null, null);
      return 'dispatched';
    }
    const candidates = service.candidates(now, work.avoid, work.rank, waitedShareOf(work, now));
    if (candidates.length === 0) {
      return 'waits';
    }
    const weigh = this.weigherOf(work);
    const upstream = service.picker.pick({
      candidates,
      zone: config.zone,
      now,
      random,
      inTimeMillis: work.terms.inTimeMillis,
      room: this.context.fleet.roomOf(service.name, config.zone, now),
      weigh,
    });
    this.attempts.start(work, upstream, null, null);
    return 'dispatched';
  }

  private placeAtOwner(work: Work, shard: ShardId): Placement {
    const owner = this.context.ownerOf(shard);
    const { now, turn, config } = this.context;
    if (
      owner === undefined ||
      owner.upstream.evidence.isToldLeaving ||
      !owner.upstream.hasSlot(now, work.rank, waitedShareOf(work, now))
    ) {
      return 'waits';
    }
    const { epoch, incarnation, upstream } = owner;
    if (upstream.warmth.isCold(now)) {
      const { warmupBounds = DEFAULT_WARMUP_BOUNDS } = config;
      if (!upstream.warmth.isOwnerTurn(turn, warmupBounds, now)) {
        return 'waits';
      }
      upstream.warmth.useTurn(turn.inAll, warmupBounds, now);
    }
    const hasFence = upstream.record.definition.announced === undefined;
    const key = work.request.key as string;
    const credentials = hasFence ? { shard, epoch, incarnation, key } : null;
    this.attempts.start(work, upstream, { shard, epoch, endsAttempts: hasFence }, credentials);
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

  private enqueue(work: Work, place: 'front' | 'back'): void {
    const { service } = work;
    const owner = work.shard === null ? null : (this.context.view.shard(work.shard)?.owner ?? null);
    const lane = service.lanes.obtain(work.shard, owner);
    if (lane.owner !== owner) {
      // A range that begins at the same key has another owner now, and what is known of the lane was about the one before.
      service.lanes.reassign(lane, owner);
      lane.resume();
    }
    service.lanes.enqueue(lane, work, place, this.context.now);
    work.phase = 'queued';
    this.admission.boundWait(work);
    this.scheduleWake(service);
  }

  private scheduleWake(service: ServiceState): void {
    if (!service.wakeScheduled && service.lanes.length > 0) {
      service.wakeScheduled = true;
      this.context.schedule(this.nextLook(service), { type: 'service-wake', service });
    }
  }

  /** A while from now, or when the first pause of an upstream is over: what waits may not be able to wait longer. */
  private nextLook(service: ServiceState): number {
    const { now } = this.context;
    const pauses = service.upstreams.map(({ opensAt }) => opensAt).filter((until) => until > now);
    return Math.min(now + WAKE_MILLIS, ...pauses);
  }
}

/** How much of the time that a work may wait is over. */
function waitedShareOf({ arrivedAt, holdUntil }: Work, now: number): number {
  const longest = holdUntil - arrivedAt;
  return longest > 0 ? Math.min(1, (now - arrivedAt) / longest) : 1;
}

/** Whether nothing that waits in a lane goes before a work that comes now. */
function isNextIn(lane: Lane, { rank }: Work, now: number): boolean {
  return lane.queue.countAhead(rank) === 0 && !lane.isPaused(now);
}
