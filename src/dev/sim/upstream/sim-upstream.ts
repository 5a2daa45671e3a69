/** A server that embeds the fence: accepts grants, admits and processes requests, and applies effects only while it may. */
import { createLeaseClock } from '../../../clock/lease-clock.js';
import { createGrantHolder, type GrantHolder, type Ticket } from '../../../lease/index.js';
import type { FenceCredentials, FenceRefusal, SessionAnswer, SessionRequest } from '../../../lease/types.js';
import type { Epoch, Incarnation, ShardId, UpstreamId } from '../../../model/identifiers.js';
import type { KeyHolder } from '../../checker/history.js';
import { SimProcess } from '../sim-process.js';
import type { SizedService } from '../sim-sizes.js';
import type { World } from '../world.js';
import type { AttemptFrame, ReplyToAttempt, ReportedConstraint } from './attempt-frame.js';
import { type AdmittedRequest, FenceView } from './fence-view.js';
import { observeHolders } from './observe-holders.js';
import { sendAnswer } from './send-answer.js';
import { NO_CONSTRAINT, type UpstreamConstraint } from './upstream-constraint.js';

/** Usual maximum number of requests in flight. */
export const QUEUE_LIMIT = 20;
/** Share of slow requests, and the factor on their service time. */
const SLOW_SHARE = 0.08;
const SLOW_FACTOR = 30;
/** Minimum and maximum time of work that takes seconds. */
const LONG_WORK_MILLIS = [200, 4000] as const;
const WARM_MILLIS = 15;
const STOP_CHECK_MILLIS = 10;
/** Minimum and maximum time from a crash during a request to the next run. */
const RESTART_AFTER_CRASH_MILLIS = [2000, 4000] as const;
/** Ports of addresses encode the markers of changes. */
export const PORT_BASE = 10_000;

interface PendingRequest extends AdmittedRequest {
  readonly reply: ReplyToAttempt;
  aborted: boolean;
}

export class SimUpstream extends SimProcess {
  readonly id: UpstreamId;
  /** Whether the whole machine is lost, so that connection attempts time out instead of being refused. */
  isSilent = false;
  /** Share of answers that are broken: truncated, duplicated or with another request's id. */
  badAnswers = 0;
  /** Shortest and longest time after which its refusals are sent again; `null`: they aren't. */
  repeatedMillis: readonly [number, number] | null = null;
  /** Maximum number of requests in flight; more are shed. */
  queueLimit = QUEUE_LIMIT;
  /** The constraint that its answers report. */
  constraint: UpstreamConstraint = NO_CONSTRAINT;
  /** Whether this run has reported a constraint. */
  private hasReportedConstraint = false;
  /** Whether the operators' last change request marks it as leaving or removes it. */
  isDrainRequested = false;
  /** Whether a planned stop is in progress. */
  isStopping = false;
  /** True time of the last crash caused by a request. */
  crashedAt = Number.NEGATIVE_INFINITY;
  readonly maps = new Map<number, SessionRequest['keyMap'] & object>();
  private holder: GrantHolder | null = null;
  private view: FenceView | null = null;
  private incarnation: Incarnation = '';
  /** The clock by which its leases are measured. */
  private now: () => number = () => 0;
  private readonly epochs = new Map<ShardId, Epoch>();
  private readonly waiting: PendingRequest[] = [];
  private readonly running = new Set<PendingRequest>();

  constructor(
    private readonly world: World,
    readonly number: number,
    zone: string,
    readonly service: SizedService,
  ) {
    super(`upstream-${number}`, zone, world.time, world.makeClock(), world.makeRandom());
    this.id = `${service.definition.name}-${number}`;
  }

  /** Host of its address; the port encodes the marker of a change. */
  get host(): string {
    return `127.1.0.${this.number}`;
  }

  address(marker: number): string {
    return `${this.host}:${PORT_BASE + marker}`;
  }

  get inFlight(): number {
    return this.waiting.length + this.running.size;
  }

  /** Handles a session request of the leader. */
  handleSession(request: SessionRequest): SessionAnswer | null {
    if (this.holder === null) {
      return null;
    }
    const answer = this.holder.handleSession(this.sabotageSession(request), this.now());
    if (answer.refused === null && request.keyMap !== null) {
      this.maps.set(request.keyMap.generation, request.keyMap);
    }
    this.applyHolderEvents();
    observeHolders(this.world, this);
    return answer;
  }

  /** Handles a request of a router. */
  handleAttempt(frame: AttemptFrame, reply: ReplyToAttempt): void {
    this.world.recorder.record({
      type: 'request-reached',
      at: this.time.now,
      send: frame.send,
      upstream: this.id,
      isInTouch: this.world.isCalm(),
    });
    this.recordConstrainedArrival(frame);
    const admitted = this.admit(frame);
    if (typeof admitted === 'string') {
      reply.refuse(admitted, this.reportedConstraint());
      return;
    }
    const pending: PendingRequest = { frame, reply, ticket: admitted, aborted: false };
    this.waiting.push(pending);
    this.startWaiting();
  }

  /** Sends a refusal a second time, if it does so now. */
  sendAgain(send: () => void): void {
    if (this.repeatedMillis !== null) {
      this.schedule(this.random.between(...this.repeatedMillis), send);
    }
  }

  /** Marks an attempt as aborted after the router closed its connection. */
  abort(frame: AttemptFrame): void {
    const isOfFrame = (pending: PendingRequest): boolean => pending.frame === frame;
    const pending = this.waiting.find(isOfFrame) ?? [...this.running].find(isOfFrame);
    if (pending !== undefined) {
      pending.aborted = true;
    }
  }

  /** Shards that were granted to it and not released. */
  grantedShards(): ShardId[] {
    return [...this.epochs.keys()];
  }

  /** Returns the holder if its fence would, at this instant, admit a request for the key or let one take effect. */
  holdingOf(key: string): KeyHolder | null {
    const epoch = this.view === null ? null : this.view.epochOf(key, [...this.waiting, ...this.running]);
    return epoch === null ? null : { upstream: this.id, incarnation: this.incarnation, epoch };
  }

  /** Planned stop: ends the run once its shards are released and no requests are left. */
  stopWhenEmpty(): void {
    if (!this.isStopping) {
      return;
    }
    const isEmpty = this.epochs.size === 0 && this.inFlight === 0 && this.holder?.status(0).draining;
    if (isEmpty) {
      this.world.recorder.count('planned stop of an upstream');
      this.crash();
      return;
    }
    this.schedule(STOP_CHECK_MILLIS, () => this.stopWhenEmpty());
  }

  protected onStart(): void {
    this.incarnation = `${this.id}/${this.run}`;
    this.isSilent = false;
    this.isStopping = false;
    this.constraint = NO_CONSTRAINT;
    this.hasReportedConstraint = false;
    const { id, incarnation, maps, epochs } = this;
    const { sabotage } = this.world;
    const holder = createGrantHolder({ cluster: null, upstream: id, incarnation });
    this.holder = holder;
    this.now =
      sabotage === 'suspension-unseen'
        ? () => this.clock.monotonic()
        : createLeaseClock(this.clock.sources());
    const now = (): number => this.now();
    this.view = new FenceView({ holder, incarnation, now, maps, epochs, sabotage });
  }

  protected onStop(): void {
    this.holder = null;
    this.view = null;
    this.epochs.clear();
    this.waiting.splice(0);
    this.running.clear();
  }

  /** Returns the constraint to report in a head now; `undefined` if there is none. */
  private reportedConstraint(): ReportedConstraint | undefined {
    const { constraint, incarnation } = this;
    this.hasReportedConstraint ||= constraint !== NO_CONSTRAINT;
    return constraint === NO_CONSTRAINT ? undefined : { incarnation, constraint, at: this.time.now };
  }

  private recordConstrainedArrival({ router, send }: AttemptFrame): void {
    if (this.constraint === NO_CONSTRAINT && !this.hasReportedConstraint) {
      return;
    }
    this.world.recorder.record({
      type: 'needy-upstream-reached',
      at: this.time.now,
      router,
      upstream: this.incarnation,
      limitPerSecond: this.constraint.limitPerSecond,
      send,
      runningSince: this.world.runningSince(router),
      isExcused: this.world.isExcused(router),
    });
  }

  private admit(frame: AttemptFrame): Ticket | null | FenceRefusal {
    const { holder } = this;
    const isRejected = this.constraint.restMillis !== null || this.inFlight >= this.queueLimit;
    if (holder === null || isRejected) {
      return 'overloaded';
    }
    const now = this.now();
    if (frame.credentials === null) {
      return holder.status(now).draining ? 'draining' : null;
    }
    const admission = holder.admit(frame.credentials, now);
    if (admission.type === 'admitted') {
      return admission.ticket;
    }
    return admission.refusal === 'lease-over' ? this.admitUnleased(frame.credentials) : admission.refusal;
  }

  private admitUnleased(credentials: FenceCredentials): Ticket | FenceRefusal {
    if (
      this.world.sabotage !== 'lease-end-ignored' ||
      this.epochs.get(credentials.shard) !== credentials.epoch
    ) {
      return 'lease-over';
    }
    return { number: -1, shard: credentials.shard, epoch: credentials.epoch };
  }

  private startWaiting(): void {
    const { slots, serviceMillis } = this.service.template;
    while (this.running.size < slots) {
      const pending = this.waiting.shift();
      if (pending === undefined) {
        return;
      }
      this.running.add(pending);
      if (this.world.crashingContents.has(pending.frame.content)) {
        this.schedule(this.random.exponential(serviceMillis), () => this.crashDuring(pending));
        continue;
      }
      this.schedule(this.drawWorkMillis(pending.frame), () => this.finish(pending));
    }
  }

  private drawWorkMillis({ content }: AttemptFrame): number {
    if (this.world.longContents.has(content)) {
      return this.random.between(...LONG_WORK_MILLIS);
    }
    const { serviceMillis } = this.service.template;
    const mean = this.random.chance(SLOW_SHARE) ? serviceMillis * SLOW_FACTOR : serviceMillis;
    return this.random.exponential(mean);
  }

  private finish(pending: PendingRequest): void {
    this.running.delete(pending);
    const { frame, reply, ticket } = pending;
    if (this.mayTakeEffect(pending)) {
      this.takeEffect(pending);
      sendAnswer(frame, reply, this.random, this.badAnswers, this.inFlight, this.reportedConstraint());
    } else {
      reply.refuse('lease-over', this.reportedConstraint());
    }
    if (ticket !== null) {
      this.holder?.finish(ticket, this.now());
      this.applyHolderEvents();
    }
    this.startWaiting();
  }

  /** Crashes this run because of the request; the next run starts some seconds later. */
  private crashDuring({ frame }: PendingRequest): void {
    const { world, id, incarnation } = this;
    world.recorder.count('upstream crashed under a request');
    world.recorder.record({
      type: 'upstream-crashed',
      at: this.time.now,
      send: frame.send,
      upstream: id,
      incarnation,
    });
    this.crashedAt = this.time.now;
    this.crash();
    this.time.after(this.random.between(...RESTART_AFTER_CRASH_MILLIS), () => this.start());
  }

  private mayTakeEffect({ ticket, aborted }: PendingRequest): boolean {
    if (aborted) {
      return false;
    }
    const isUnchecked = ticket?.number === -1 || this.world.sabotage === 'no-fence-at-effect';
    return ticket === null || isUnchecked || (this.view?.confirms(ticket) ?? false);
  }

  private takeEffect({ frame, ticket }: PendingRequest): void {
    const { name } = this.service.definition;
    this.world.recorder.count(`ran ${name}`);
    this.world.recorder.record({
      type: 'request-ran',
      at: this.time.now,
      send: frame.send,
      upstream: this.id,
      incarnation: this.incarnation,
      key: ticket === null ? null : `${name}/${frame.credentials?.key}`,
      epoch: ticket?.epoch ?? null,
    });
  }

  private applyHolderEvents(): void {
    const { holder, world } = this;
    for (const event of holder?.takeEvents() ?? []) {
      switch (event.type) {
        case 'granted':
          this.epochs.set(event.shard, event.epoch);
          world.recorder.count('shard granted');
          break;
        case 'released':
          this.epochs.delete(event.shard);
          world.recorder.count('shard given up');
          break;
        case 'warm':
          this.schedule(WARM_MILLIS, () => holder?.markWarmed(event.shard));
          break;
        default:
      }
    }
  }

  private sabotageSession(request: SessionRequest): SessionRequest {
    if (this.world.sabotage !== 'lease-from-receipt' || request.validUntil === null) {
      return request;
    }
    return { ...request, validUntil: this.now() + LEASE_MILLIS };
  }
}

/** Lease length that the sabotage `lease-from-receipt` assumes. */
const LEASE_MILLIS = 1500;
