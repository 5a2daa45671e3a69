/** The router core: handles inputs, holds the state of all requests and returns effects. It uses no clock, sockets or async calls. */
import type { ControlToRouter, SyncResponse, UpstreamPermits } from '../control/messages.js';
import type { Address, MonotonicMillis, UpstreamId, WallMillis } from '../model/identifiers.js';
import type { RelayReport } from '../model/relay.js';
import type { RoutingDelta } from '../registry/types.js';
import { Answers } from './answers.js';
import { AttemptResults } from './attempt-results.js';
import { ClaimFlow } from './claim-flow.js';
import { ConfigurationUpdates } from './configuration-updates.js';
import type { ApplyOutcome } from './configuration-view.js';
import { Dispatcher } from './dispatcher.js';
import { LinkGate } from './link-gate.js';
import { LostAttempts } from './lost-attempts.js';
import { NoticeHandler } from './notices/notice-handler.js';
import type { RunNotices } from './notices/run-notices.js';
import { UpstreamReporter } from './notices/upstream-reporter.js';
import { HungAttempts } from './paths/hung-attempts.js';
import { PlannedStop } from './planned-stop.js';
import { PolicyGate } from './policy-gate.js';
import { Admission } from './queue/admission.js';
import type { Member, RequestGroup } from './request-group.js';
import { RequestIntake } from './request-intake.js';
import { RouterContext } from './router-context.js';
import type { TimerSubject } from './router-timer.js';
import type { RouterConfig, RouterCore, RouterEffect, RouterInput, RouterStatus } from './types.js';
import { FleetReports } from './zones/fleet-reports.js';

/** Creates the core of one router run. It serves no requests before its first confirmed configuration. */
export function createRouterNode(config: RouterConfig): RouterCore {
  return new RouterNode(config);
}

class RouterNode implements RouterCore {
  private readonly context: RouterContext;
  private readonly claims: ClaimFlow;
  private readonly answers: Answers;
  private readonly admission: Admission;
  private readonly dispatcher: Dispatcher;
  private readonly policyGate: PolicyGate;
  private readonly intake: RequestIntake;
  private readonly results: AttemptResults;
  private readonly lost: LostAttempts;
  private readonly hung: HungAttempts;
  private readonly updates: ConfigurationUpdates;
  private readonly reports: UpstreamReporter;
  private readonly notices: NoticeHandler;
  private readonly fleetReports: FleetReports;
  private serving = false;

  constructor(config: RouterConfig) {
    this.context = new RouterContext(config);
    this.fleetReports = new FleetReports(this.context);
    this.claims = new ClaimFlow(this.context);
    this.answers = new Answers(this.context, this.claims);
    this.admission = new Admission(this.context, this.answers);
    this.dispatcher = new Dispatcher(this.context, this.answers, this.admission);
    const { context, admission, dispatcher, answers, claims } = this;
    const { linkBytesPerMilli } = config;
    if (linkBytesPerMilli !== undefined) {
      context.link = new LinkGate({ context, dispatcher, answers }, linkBytesPerMilli);
    }
    const { link } = context;
    const admit = (group: RequestGroup): void => (link === null ? dispatcher.admit(group) : link.pass(group));
    this.policyGate = new PolicyGate({ context, admission, admit, answers });
    this.intake = new RequestIntake({ context, admission, answers, claims, policyGate: this.policyGate });
    this.notices = new NoticeHandler({ context, admission, dispatcher });
    const { intake, notices } = this;
    this.results = new AttemptResults({
      context,
      admission,
      dispatcher,
      answers,
      intake,
      notices,
    });
    this.reports = new UpstreamReporter(this.context);
    this.lost = new LostAttempts(this.context, this.results);
    this.hung = new HungAttempts({ context, results: this.results, dispatcher });
    this.updates = new ConfigurationUpdates({
      context: this.context,
      dispatcher: this.dispatcher,
      intake: this.intake,
      lost: this.lost,
    });
  }

  step(input: RouterInput, now: number, wall: WallMillis): RouterEffect[] {
    this.context.now = Math.max(this.context.now, now);
    this.context.wall = wall;
    this.endLease();
    this.handleInput(input);
    this.fireTimers();
    if (this.context.crashes.takeQuarantineChange()) {
      this.intake.refuseQuarantined();
    }
    this.lost.scheduleSweep();
    this.sync();
    this.reports.step();
    if (this.isOverloaded()) {
      this.context.hasRefusedAtOwner = false;
      this.reportLoad(true);
    }
    const effects = this.context.takeEffects();
    this.fleetReports.refused(effects);
    return effects;
  }

  nextDeadline(): number {
    const { timers, lease } = this.context;
    const leaseEnd = this.serving ? lease.end : Number.POSITIVE_INFINITY;
    return Math.min(timers.nextAt(), lease.nextSyncAt(), leaseEnd);
  }

  status(): RouterStatus {
    const { context } = this;
    return {
      revision: context.view.revision,
      serving: this.serving,
      queued: context.waitingLength(),
      inFlight: context.attempts.size,
      unsettled: this.claims.unsettledCount,
      limited: countNotices(context, ({ limit }) => limit.isInForce),
      resting: countNotices(context, ({ backoff: rest }) => rest.isInForce(context.now)),
      leaving: countNotices(context, ({ isLeaving }) => isLeaving),
      relayed: { upstreams: context.paths.relayedCount, relays: context.paths.relayCount },
      ...(context.link !== null && { link: context.link.status() }),
      returns: this.admission.returns.counts,
      routes: context.tallies.all(),
    };
  }

  private handleInput(input: RouterInput): void {
    switch (input.type) {
      case 'tick':
        return;
      case 'request':
        this.intake.receive(input.request);
        return;
      case 'request-cancelled':
        this.cancelRequest(input.request);
        return;
      case 'attempt-ended':
        this.results.ended(input.attempt, input.result);
        return;
      case 'answer-carried':
        this.context.link?.recordTransfer(input.bytes, input.millis);
        return;
      case 'upstream-notice':
        this.notices.onResponseHead(input.attempt, input.notice);
        return;
      case 'suspended':
        this.context.lease.suspended(input.millis, this.context.now);
        this.context.emit({
          type: 'log',
          level: 'warn',
          event: 'suspended',
          fields: { millis: input.millis },
        });
        this.endLease();
        return;
      case 'path-tried':
        this.context.paths.tried(input.number, input.outcome);
        return;
      case 'relay-closing':
        this.context.paths.relayFailed(input.router, 'closing');
        return;
      case 'relay-requested': {
        const target = this.context.paths.relayTargetOf(input.upstream);
        this.context.emit({ type: 'relay-target', number: input.number, target });
        return;
      }
      case 'run-checked':
        this.context.crashes.runs.recordCheck(input.run, input.check);
        return;
      case 'control-message':
        this.handleControlMessage(input.from, input.message);
        return;
      case 'control-lost':
        this.context.lease.onMemberLost(input.from, this.context.now);
        this.claims.onMemberLost(input.from);
        return;
      case 'control-connected':
        this.context.lease.onMemberConnected(input.to, input.zone, this.context.now);
        return;
      case 'control-members':
        this.context.lease.setConfiguredMembers(input.members);
        return;
      case 'probe-result':
        this.handleProbe(input.upstream, input.healthy, input.load);
        return;
      case 'stopping':
        this.beginStop(input.endsAt, input.breaksOffAt);
        return;
      case 'policy-trace':
        this.context.tracing = input.on;
        return;
      case 'platform-list':
        this.handlePlatformList(input.leaving, input.live);
    }
  }

  private handleControlMessage(from: Address, message: ControlToRouter): void {
    const { context } = this;
    switch (message.type) {
      case 'sync-response':
        this.handleSyncResponse(message);
        return;
      case 'sync-news':
        this.handleSyncUpdate(message.delta);
        return;
      case 'change-notice':
        context.lease.onRevisionNotice(message.revision, context.view.revision, context.now);
        return;
      case 'claim-response':
        this.claims.onClaimResponse(message, from);
        return;
      case 'settle-response':
        this.claims.onSettleResponse(message, from);
        return;
      case 'upstream-permits':
        this.handlePermits(message, from);
        return;
      case 'fleet-news':
        context.fleet.update(message, context.now);
        return;
      case 'relay-peers':
        context.paths.peers.set(message.peers, context.now);
    }
  }

  /** Handles permits from control for waiting requests, or the time at which there will be some. */
  private handlePermits(message: UpstreamPermits, from: Address): void {
    if (message.upstreams.length === 0) {
      this.context.leader.avoid(from);
    }
    this.context.leader.setHint(message.leader);
    for (const upstream of this.reports.applyPermits(message)) {
      this.dispatcher.drainUpstream(upstream);
      this.admission.refuseBlockedBy(upstream);
    }
  }

  private handleSyncResponse(response: SyncResponse): void {
    const { context } = this;
    const outcome = this.applyResponse(response);
    const hasGap = outcome?.type === 'gap';
    context.lease.answered(response, context.view.revision, hasGap, context.now);
    context.leader.setHint(response.leader);
    context.lease.setVoters(response.members);
    context.turn = response.turn ?? context.turn;
    this.beginLease();
    this.update(outcome);
    if (this.serving) {
      this.intake.receiveEarly();
    }
  }

  private handleSyncUpdate(delta: RoutingDelta): void {
    const { context } = this;
    const outcome = context.view.applyDelta(delta);
    context.lease.onUpdateApplied(context.view.revision, outcome.type === 'gap', context.now);
    this.update(outcome);
  }

  private update(outcome: ApplyOutcome | undefined): void {
    if (outcome?.type === 'applied') {
      this.updates.apply(outcome.changes);
      this.logApplied(outcome.changes.length);
    }
  }

  private logApplied(changes: number): void {
    const { revision, declaration } = this.context.view;
    const fields = { revision, version: declaration?.version ?? 0, changes };
    this.context.emit({ type: 'log', level: 'info', event: 'configuration-applied', fields });
  }

  private applyResponse(response: SyncResponse): ApplyOutcome | undefined {
    const { view } = this.context;
    if (response.snapshot !== null) {
      return view.applySnapshot(response.snapshot);
    }
    return response.delta === null ? undefined : view.applyDelta(response.delta);
  }

  private beginLease(): void {
    const { lease, now } = this.context;
    if (!this.serving && lease.isValid(now)) {
      this.serving = true;
      this.log('info', 'configuration-lease-held');
    }
  }

  /** Once the lease is over no request may start: waiting requests are refused now, attempts in flight may finish. */
  private endLease(): void {
    const { context } = this;
    if (!this.serving || context.lease.isValid(context.now)) {
      return;
    }
    this.serving = false;
    this.log('warn', 'configuration-lease-over');
    for (const service of context.services.values()) {
      this.intake.refuseWaiting(service, 'no-configuration');
    }
  }

  private fireTimers(): void {
    const { timers, now } = this.context;
    for (let timer = timers.takeDue(now); timer !== undefined; timer = timers.takeDue(now)) {
      this.fire(timer.subject);
    }
  }

  private fire(subject: TimerSubject): void {
    switch (subject.type) {
      case 'deadline':
        this.passDeadline(subject.member);
        return;
      case 'hold-end':
        this.endHold(subject);
        return;
      case 'policy-recheck':
        this.policyGate.recheck(subject.group);
        return;
      case 'claim':
        this.claims.onTimer(subject.claim);
        return;
      case 'early-end':
        this.intake.timeOutEarly(subject.request);
        return;
      case 'stop-end':
        this.endStop(subject.stop);
        return;
      case 'grants-over':
        this.lost.abandonAfterGrace();
        return;
      case 'overdue-sweep':
        this.hung.sweep();
        this.lost.sweep();
        return;
      case 'path-return':
        this.context.paths.onReturnTimer();
        return;
      case 'path-resend':
        this.hung.resend(subject.left);
        return;
      case 'run-check':
        this.context.crashes.runs.check(subject.run);
        return;
      case 'crash-report':
        this.context.crashes.sendReport();
        return;
      case 'link-wake':
        this.context.link?.wake();
        return;
      case 'upstream-report':
        this.reports.onTimer();
        return;
      case 'service-wake':
        this.dispatcher.wake(subject.service);
    }
  }

  private beginStop(endsAt: MonotonicMillis, breaksOffAt?: MonotonicMillis): void {
    const { context } = this;
    if (context.plannedStop === null) {
      const stop = new PlannedStop(context.now, endsAt, breaksOffAt);
      context.plannedStop = stop;
      context.schedule(endsAt, { type: 'stop-end', stop });
    }
  }

  private endStop(stop: PlannedStop): void {
    const { context } = this;
    if (stop.leavesRunning(context.now)) {
      this.intake.refuseUnsent();
      context.schedule(stop.breaksOffAt, { type: 'stop-end', stop });
      return;
    }
    const laterAt = stop.putOffEnd(context.now);
    if (laterAt !== null) {
      context.schedule(laterAt, { type: 'stop-end', stop });
      return;
    }
    this.intake.refuseAll();
    context.emit({ type: 'stop-ended' });
  }

  /** If the request did not run, the refusal includes a retry time, because its route's deadline may pass before the caller's. */
  private passDeadline(member: Member): void {
    const mayHaveRun = member.mayHaveRun || member.group.attempt !== null;
    const wait = mayHaveRun ? null : this.admission.unmeasuredRetryAfter();
    this.answers.refuse(member, 'deadline-passed', wait);
  }

  /** The limit applies only to groups that are waiting at this moment. */
  private endHold(subject: Extract<TimerSubject, { type: 'hold-end' }>): void {
    const { group } = subject;
    group.holdTimer = null;
    if (group.phase === 'queued') {
      this.admission.onWaitEnd(group);
    }
  }

  private sync(): void {
    const { context } = this;
    const sync = context.lease.startSync(context.now);
    if (sync === undefined) {
      return;
    }
    const { router, incarnation, zone } = context.config;
    const have = sync.wantsSnapshot ? 0 : context.view.revision;
    const { stamp } = sync;
    context.emit({
      type: 'send-control',
      to: sync.to,
      message: { type: 'sync-request', router, incarnation, zone, stamp, have },
    });
    this.reportLoad(false);
  }

  /** Sends a load report if one is due. Reports are sent together with syncs, except urgent ones. */
  private reportLoad(isUrgent: boolean): void {
    const { context } = this;
    const leader = context.leader.target();
    const report = context.reporter.takeReport(context.now, isUrgent);
    if (report !== null && leader !== null) {
      const fleet = this.fleetReports.nextReport();
      const relay = this.relayReport();
      const message = { ...report, ...(fleet !== null && { fleet }), ...(relay !== null && { relay }) };
      context.emit({ type: 'send-control', to: leader, message });
    }
  }

  private relayReport(): RelayReport | null {
    const { config, paths } = this.context;
    const { router, zone, relayAddress } = config;
    if (relayAddress === undefined) {
      return null;
    }
    return { peer: { router, zone, address: relayAddress }, lostPaths: paths.relayedCount };
  }

  /** Whether requests wait for owners of numeric keys, whose ranges can be split, or were refused because an owner has no capacity. */
  private isOverloaded(): boolean {
    const { services, view, hasRefusedAtOwner } = this.context;
    return (
      hasRefusedAtOwner ||
      [...services.values()].some(({ name, queues }) => queues.length > 0 && view.hasRanges(name))
    );
  }

  private cancelRequest(request: number): void {
    const member = this.context.members.get(request);
    if (member === undefined) {
      this.intake.cancelEarly(request);
    } else {
      this.answers.abandon(member);
    }
  }

  private handleProbe(id: UpstreamId, healthy: boolean, load: number | null): void {
    const upstream = this.context.upstreams.get(id);
    if (upstream === undefined || upstream.path.relay !== null) {
      // A probe goes over the direct path, so that it says nothing of an upstream that is reached through another router.
      return;
    }
    upstream.evidence.recordProbe(healthy, this.context.now);
    if (healthy) {
      upstream.notices?.onHealthyProbe(this.context.now);
      upstream.setNotices(upstream.notices);
    }
    if (load !== null) {
      upstream.recordLoad(load, this.context.now);
    }
  }

  private handlePlatformList(leaving: readonly UpstreamId[], live: readonly UpstreamId[]): void {
    const { upstreams, now } = this.context;
    for (const id of live) {
      upstreams.get(id)?.evidence.recordPlatformState(false, now);
    }
    for (const id of leaving) {
      upstreams.get(id)?.evidence.recordPlatformState(true, now);
    }
  }

  private log(level: 'info' | 'warn', event: string): void {
    this.context.emit({ type: 'log', level, event, fields: { revision: this.context.view.revision } });
  }
}

function countNotices({ upstreams }: RouterContext, predicate: (notices: RunNotices) => boolean): number {
  return [...upstreams.values()].filter(({ notices }) => notices !== null && predicate(notices)).length;
}
