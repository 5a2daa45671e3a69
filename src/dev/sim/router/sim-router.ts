/** A router: the router core on a simulated machine, connected to callers, control members and upstreams. */

import { SuspensionWatch } from '../../../clock/suspension-watch.js';
import { DEFAULT_CONFIG_LEASE_TIMINGS, type RouterToControl } from '../../../control/messages.js';
import type { Address, Incarnation, UpstreamId } from '../../../model/identifiers.js';
import { EMPTY_NOTICE, type UpstreamNotice } from '../../../model/upstream-notice.js';
import { stopTimesOf } from '../../../router/stop-times.js';
import { createRouterNode } from '../../../routing/index.js';
import type { RelayTarget } from '../../../routing/paths/path-watch.js';
import type {
  ArrivedRequest,
  AttemptNumber,
  AttemptResult,
  RequestNumber,
  RouterCore,
  RouterEffect,
  RouterInput,
  RouterStatus,
} from '../../../routing/types.js';
import type { CancelAction } from '../../virtual/event-queue.js';
import { SimProcess, TickTimer } from '../sim-process.js';
import type { ReportedConstraint } from '../upstream/attempt-frame.js';
import { NO_CONSTRAINT, type UpstreamConstraint } from '../upstream/upstream-constraint.js';
import type { World } from '../world.js';
import { ControlLine } from './control-line.js';
import { type Exchange, type RouterAnswer, storedAnswer } from './router-answer.js';
import { sabotageNotice, sabotageRefusal, sabotageResult, sabotageToControl } from './sabotage-router.js';
import { SimAttempt } from './sim-attempt.js';
import { UpstreamConnections } from './upstream-connections.js';

const CLAIM_TIMEOUT_MILLIS = 1000;
const STOP_CHECK_MILLIS = 10;
/** Time for which a stopping router still answers on open connections. */
const STOP_IDLE_MILLIS = 1500;
/** Usual time after which a router that was asked to stop is killed. */
const STOP_GRACE_MILLIS = 10_000;
/** Time for which callers still send to a stopping router on connections that they have open. */
const STOP_SENDS_MILLIS = 1200;
/** Grace time that the core assumes under sabotage. */
const ENDLESS_GRACE_MILLIS = 1_000_000;
/** Length of the configuration lease under sabotage. */
const ENDLESS_LEASE_MILLIS = 1_000_000;

type Dispatch = Extract<RouterEffect, { readonly type: 'dispatch' }>;

export class SimRouter extends SimProcess {
  /** Whether a planned stop is in progress: the router accepts no new callers and ends once the open requests are answered. */
  isStopping = false;
  private core: RouterCore | null = null;
  private timer: TickTimer | null = null;
  private suspensions: SuspensionWatch;
  private incarnation: Incarnation = '';
  private lines = new Map<Address, ControlLine>();
  private pools: UpstreamConnections;
  private readonly exchanges = new Map<RequestNumber, Exchange>();
  private readonly attempts = new Map<AttemptNumber, SimAttempt>();
  private plannedRun = 0;
  /** The run that was asked to stop last, and the true time of that. */
  private stopBegun = { run: 0, at: 0 };
  private cancelKill: CancelAction = () => {};
  private nextRequest = 1;
  private recordedRevision = 0;
  private lastAttempt: AttemptNumber = 0;
  /** The core's answer to the latest `relay-requested`. */
  private relayTarget: RelayTarget | null = null;
  /** Upstreams that reported a constraint, with the latest attempt dispatched by that time. */
  private readonly constraintReports = new Map<UpstreamId, AttemptNumber>();

  constructor(
    readonly world: World,
    readonly number: number,
    zone: string,
  ) {
    super(`router-${number}`, zone, world.time, world.makeClock(), world.makeRandom());
    this.pools = new UpstreamConnections(world, this);
    this.suspensions = new SuspensionWatch(this.clock.sources());
  }

  status(): RouterStatus | null {
    return this.core?.status() ?? null;
  }

  /** Whether this run ended by a planned stop, not by a crash during it. */
  wasStoppedByPlan(run: number): boolean {
    return this.plannedRun === run;
  }

  /** Whether this run was ever asked to stop, also if it continued. */
  get wasAskedToStop(): boolean {
    return this.stopBegun.run === this.run;
  }

  /** Whether callers with open connections send to this router, which stops. */
  get takesLateRequests(): boolean {
    return (
      this.isStopping && this.state === 'running' && this.time.now < this.stopBegun.at + STOP_SENDS_MILLIS
    );
  }

  /** Planned stop: accepts no new requests and ends once all open ones are answered; killed when the grace time is over. */
  stopByPlan(graceMillis = STOP_GRACE_MILLIS): void {
    this.isStopping = true;
    this.stopBegun = { run: this.run, at: this.time.now };
    this.cancelKill = this.time.after(graceMillis, () => this.endOverdueStop());
    const toldMillis = this.world.sabotage === 'stop-end-unknown' ? ENDLESS_GRACE_MILLIS : graceMillis;
    const heardAt = this.clock.monotonic();
    const { answersAt, breaksOffAt } = stopTimesOf(toldMillis, { earliestAt: heardAt, heardAt });
    this.input({ type: 'stopping', endsAt: answersAt, breaksOffAt });
    if (this.world.sabotage === 'planned-stop-cuts') {
      this.endByPlan();
      return;
    }
    this.schedule(STOP_IDLE_MILLIS, () => this.stopWhenIdle());
  }

  /** Starts a new run after a planned stop; a run that is still stopping continues normally. */
  startAfterStop(): void {
    if (this.state === 'stopped') {
      this.start();
    }
    this.isStopping = false;
    this.cancelKill();
  }

  private endByPlan(): void {
    this.plannedRun = this.run;
    this.crash();
  }

  /** The kill at the end of a planned stop. What it cuts off counts, unless the process was held up in the stop. */
  private endOverdueStop(): void {
    const { recorder } = this.world;
    recorder.count('planned stop of a router ended by the kill');
    const at = this.time.now;
    const hasRun = this.hasRunSince(this.stopBegun.at);
    for (const { send } of hasRun ? this.exchanges.values() : []) {
      recorder.record({ type: 'planned-stop-cut', at, process: this.name, send });
    }
    this.crash();
  }

  private stopWhenIdle(): void {
    if (!this.isStopping) {
      return;
    }
    if (this.exchanges.size === 0 && this.attempts.size === 0 && (this.status()?.inFlight ?? 0) === 0) {
      this.world.recorder.count('planned stop of a router');
      this.endByPlan();
      return;
    }
    this.schedule(STOP_CHECK_MILLIS, () => this.stopWhenIdle());
  }

  /** Where this router connects another one that asks for an upstream; `null` while it doesn't run. */
  relayTargetOf(upstream: UpstreamId): RelayTarget | null {
    if (this.state !== 'running') {
      return null;
    }
    this.relayTarget = null;
    this.input({ type: 'relay-requested', number: 1, upstream });
    return this.relayTarget;
  }

  /** Whether another router carries an attempt of this one whose answer is on the way. */
  isAnswerOnWayOver(relay: SimRouter): boolean {
    return this.pools.isAnswerOnWayOver(relay.name);
  }

  /** Resets the direct connections to upstreams. */
  resetUpstreamConnections(): void {
    this.pools.resetDirect();
  }

  get openRequests(): number {
    return this.exchanges.size;
  }

  input(input: RouterInput): void {
    if (this.core === null) {
      return;
    }
    const millis = this.suspensions.look();
    if (millis > 0) {
      this.stepCore({ type: 'suspended', millis });
    }
    this.stepCore(input);
    this.recordRevision();
    this.timer?.arm(this.core.nextDeadline());
  }

  private stepCore(input: RouterInput): void {
    for (const effect of this.core?.step(input, this.clock.monotonic(), this.clock.wall()) ?? []) {
      this.carryOut(effect);
    }
  }

  /** Accepts a caller's request and returns its number, for `cancel`. */
  accept(request: Omit<ArrivedRequest, 'request'>, exchange: Exchange): RequestNumber {
    const number = this.nextRequest;
    this.nextRequest += 1;
    this.exchanges.set(number, exchange);
    this.input({ type: 'request', request: { ...request, request: number } });
    return number;
  }

  /** Cancels a request after its caller disconnected. */
  cancel(request: RequestNumber): void {
    if (this.exchanges.delete(request)) {
      this.input({ type: 'request-cancelled', request });
    }
  }

  /** Handles the head of an answer and the constraint that it reports (`undefined`: none). */
  onHead(upstream: UpstreamId, attempt: AttemptNumber, reported: ReportedConstraint | undefined): void {
    if (reported !== undefined) {
      const { incarnation, constraint, at: answeredAt } = reported;
      const event = { type: 'notice-given', at: this.time.now, router: this.incarnation } as const;
      this.world.recorder.record({ ...event, upstream: incarnation, answeredAt, ...constraint });
      this.constraintReports.set(upstream, this.lastAttempt);
    } else if (attempt > (this.constraintReports.get(upstream) ?? Number.POSITIVE_INFINITY)) {
      this.constraintReports.delete(upstream);
    } else {
      return;
    }
    const notice = sabotageNotice(noticeOf(reported?.constraint), this.world.sabotage);
    this.input({ type: 'upstream-notice', attempt, notice });
  }

  attemptEnded(number: AttemptNumber, result: AttemptResult): void {
    this.world.recorder.count(`attempt ${result.type}`);
    if (result.type !== 'answered') {
      this.attempts.delete(number);
    }
    this.input({
      type: 'attempt-ended',
      attempt: number,
      result: sabotageResult(result, this.world.sabotage),
    });
    this.attempts.delete(number);
  }

  protected onStart(): void {
    const { world } = this;
    this.incarnation = `${this.name}/${this.run}`;
    this.isStopping = false;
    this.recordedRevision = 0;
    const configLease =
      world.sabotage === 'config-lease-ignored'
        ? { ...DEFAULT_CONFIG_LEASE_TIMINGS, configLeaseMillis: ENDLESS_LEASE_MILLIS }
        : DEFAULT_CONFIG_LEASE_TIMINGS;
    this.core = createRouterNode({
      router: this.name,
      incarnation: this.incarnation,
      zone: this.zone,
      seed: this.random.integer(1, 0x3fffffff),
      control: world.controls.map((control) => control.address),
      configLease,
      claimTimeoutMillis: CLAIM_TIMEOUT_MILLIS,
      ...(world.hasRelays && { relayAddress: `${this.name}:1` }),
    });
    this.pools = new UpstreamConnections(world, this);
    this.suspensions = new SuspensionWatch(this.clock.sources());
    this.timer = new TickTimer(this, () => this.input({ type: 'tick' }));
    for (const control of world.controls) {
      const line = new ControlLine(world, this, control);
      this.lines.set(control.address, line);
      line.open();
    }
    this.input({ type: 'tick' });
  }

  protected onStop(): void {
    this.cancelKill();
    this.core = null;
    this.lines.clear();
    this.exchanges.clear();
    this.attempts.clear();
    this.constraintReports.clear();
  }

  private carryOut(effect: RouterEffect): void {
    const { world } = this;
    switch (effect.type) {
      case 'send-control':
        this.sendControl(effect.to, effect.message);
        return;
      case 'dispatch':
        this.dispatch(effect);
        return;
      case 'check-run':
        this.pools.check(effect.address, (check) =>
          this.input({ type: 'run-checked', run: effect.run, check }),
        );
        return;
      case 'try-path':
        this.pools.tryPath(effect, (outcome) =>
          this.input({ type: 'path-tried', number: effect.number, outcome }),
        );
        return;
      case 'close-path':
        this.pools.closePath(effect.address, effect.via);
        return;
      case 'relay-target':
        this.relayTarget = effect.target;
        return;
      case 'cancel-attempt':
        this.attempts.get(effect.attempt)?.cancel();
        return;
      case 'recall-unsent':
        this.recall(effect.upstream);
        return;
      case 'deliver':
        this.deliver(effect.request, effect.attempt);
        return;
      case 'deliver-stored':
        this.answer(effect.request, storedAnswer(effect.answer));
        return;
      case 'refuse': {
        const { outcome, reason } = sabotageRefusal(effect, world.sabotage);
        this.answer(effect.request, { type: 'refusal', outcome, reason });
        return;
      }
      case 'log':
        world.recorder.count(`router ${effect.event}`);
    }
  }

  private sendControl(to: Address, message: RouterToControl): void {
    const sabotaged = sabotageToControl(message, this.world.sabotage);
    if (sabotaged !== null) {
      this.lines.get(to)?.send(sabotaged);
    }
  }

  private dispatch(effect: Dispatch): void {
    const exchange = this.exchanges.get(effect.request);
    if (exchange === undefined) {
      this.schedule(0, () => this.attemptEnded(effect.attempt, { type: 'connect-failed' }), true);
      return;
    }
    this.world.recorder.record({
      type: 'request-dispatched',
      at: this.time.now,
      send: exchange.send,
      router: this.incarnation,
      revision: this.core?.status().revision ?? 0,
      upstream: effect.upstream,
    });
    const frame = {
      requestId: this.world.hasSharedIds ? exchange.send : `${this.incarnation}.${effect.attempt}`,
      send: exchange.send,
      content: exchange.content,
      credentials: effect.credentials,
      router: this.incarnation,
    };
    const attempt = new SimAttempt(this, effect.attempt, effect.upstream, frame);
    this.lastAttempt = effect.attempt;
    this.attempts.set(effect.attempt, attempt);
    this.pools.start(attempt, effect);
  }

  private recall(upstream: UpstreamId): void {
    for (const attempt of [...this.attempts.values()]) {
      if (attempt.upstream === upstream) {
        attempt.recall();
      }
    }
  }

  private deliver(request: RequestNumber, number: AttemptNumber): void {
    const answer = this.attempts.get(number)?.answer;
    if (answer === undefined) {
      throw new Error(`${this.name}: attempt ${number} has no answer to deliver`);
    }
    this.answer(request, { type: 'answer', ...answer });
  }

  private answer(request: RequestNumber, answer: RouterAnswer): void {
    const exchange = this.exchanges.get(request);
    this.exchanges.delete(request);
    exchange?.answer(answer);
  }

  private recordRevision(): void {
    const revision = this.core?.status().revision ?? 0;
    if (revision !== this.recordedRevision) {
      this.recordedRevision = revision;
      this.world.recorder.record({
        type: 'router-revision',
        at: this.time.now,
        router: this.incarnation,
        revision,
      });
    }
  }
}

function noticeOf(constraint: UpstreamConstraint | undefined): UpstreamNotice {
  const { limitPerSecond, restMillis, isLeaving } = constraint ?? NO_CONSTRAINT;
  const limit =
    limitPerSecond === null ? EMPTY_NOTICE.limit : { type: 'named' as const, perSecond: limitPerSecond };
  return { ...EMPTY_NOTICE, limit, restMillis, isLeaving };
}
