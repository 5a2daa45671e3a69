/** The control daemon: runs the deterministic control core with its files, sockets, timers and operator requests. */
import { randomInt } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import type { RaftStatus } from '../../consensus/types.js';
import { createLogger, type Logger } from '../../logging/logger.js';
import { DEFAULT_HOLDER_PROTOCOL } from '../../model/holder-protocol.js';
import type { Address, ReplicaId } from '../../model/identifiers.js';
import type { HttpListener } from '../../wire/http/http-listener.js';
import { listenPatiently, type WireIdentity, type WireLimits } from '../../wire/index.js';
import { isForwardable } from '../forwarded-request.js';
import type {
  ControlConfig,
  ControlCore,
  ControlEffect,
  ControlRestoredState,
  OperatorRequest,
  OperatorResponse,
  RangeWork,
} from '../types.js';
import { startAdminServer } from './admin-server.js';
import { CoreTask } from './core-task.js';
import { HolderCalls } from './holder-calls.js';
import { IdentityQuestions } from './identity-questions.js';
import { InternalServer } from './internal-server.js';
import { JoinTask } from './join-task.js';
import { LeaderForward } from './leader-forward.js';
import { createControlMetrics } from './metrics.js';
import { Operations } from './operations.js';
import { PeerLinks } from './peer-links.js';
import { PersistTask, type ReplicaFiles } from './persist-task.js';
import {
  type ControlDaemonSettings,
  type ControlDaemonTimings,
  controlCoreConfig,
  controlTimings,
  controlWireIdentity,
  controlWireLimits,
} from './settings.js';
import type { StepReport } from './step-meter.js';
import { UpstreamSessions } from './upstream-sessions.js';
import { releaseVote } from './vote-release.js';

const RECONCILE_INTERVAL_MILLIS = 1000;
const LEADER_CHECK_INTERVAL_MILLIS = 10;
/** Time for the answers to requests that a planned stop has abandoned. */
const ABANDONED_ANSWERS_MILLIS = 100;
const MAX_SEED = 2 ** 31 - 1;

/** A replica's identity and restored state after opening its data folder. */
export interface OpenedReplica {
  readonly replica: ReplicaId;
  readonly restored: ControlRestoredState;
  readonly files: ReplicaFiles;
  /** Makes writes that wait for free disk space fail, so that they don't delay a stop. */
  readonly stopWaiting?: () => void;
}

/** Creates the core; replaced in tests. */
export type CreateControlCore = (
  config: ControlConfig,
  restored: ControlRestoredState,
  now: number,
) => ControlCore;

export class ControlDaemon {
  /** Resolves when the disk or the core failed. The process must then exit. */
  readonly failed: Promise<Error>;
  readonly replica: ReplicaId;
  private readonly core: ControlCore;
  private readonly coreTask: CoreTask;
  private readonly persistTask: PersistTask;
  private readonly peers: PeerLinks;
  private readonly joining: JoinTask;
  private readonly internal: InternalServer;
  private readonly sessions: UpstreamSessions;
  private readonly holders: HolderCalls;
  private readonly identities: IdentityQuestions;
  private readonly operations: Operations;
  private readonly leaderForward: LeaderForward;
  private readonly timings: ControlDaemonTimings;
  private readonly log: Logger = createLogger('control');
  private admin: HttpListener | undefined;
  private reconcileTimer: NodeJS.Timeout | undefined;
  private resolveFailed: (error: Error) => void = () => {};
  private starting: Promise<void> | undefined;
  private isOpen = false;
  /** Ends the waits of a start when the member is stopped. */
  private readonly startAbort = new AbortController();
  private stopping: Promise<void> | undefined;
  private lastSteps: StepReport | null = null;
  /** Counts at the previous report, to log differences. */
  private lastRangeWork: RangeWork | null = null;

  constructor(
    private readonly settings: ControlDaemonSettings,
    private readonly opened: OpenedReplica,
    createCore: CreateControlCore,
  ) {
    this.failed = new Promise((resolve) => {
      this.resolveFailed = resolve;
    });
    this.replica = opened.replica;
    this.timings = controlTimings(settings);
    const limits = controlWireLimits(settings);
    const identity = controlWireIdentity(settings, this.replica);
    this.core = createCore(
      controlCoreConfig(settings, this.replica, randomInt(1, MAX_SEED)),
      opened.restored,
      performance.now(),
    );
    this.coreTask = new CoreTask(
      this.core,
      (effect) => this.execute(effect),
      (error) => this.onFatalError(error),
      (report) => this.onStepReport(report),
    );
    this.persistTask = new PersistTask(opened.files, {
      persisted: (persistId) => this.coreTask.post({ type: 'persisted', persistId }),
      failed: (error) => this.onFatalError(error),
    });
    this.peers = new PeerLinks({
      self: this.replica,
      identity,
      localAddress: settings.outgoing,
      limits,
      log: this.log,
      received: (message) => this.coreTask.post({ type: 'peer-message', message }),
      forwarded: (frame, reply) => this.leaderForward.onFrame(frame, reply),
      addresses: () => this.core.status().membership.addresses,
    });
    this.joining = this.createJoinTask(identity, limits);
    this.internal = this.createInternalServer(identity, limits);
    this.sessions = this.createSessions();
    this.holders = this.createHolderCalls();
    this.identities = this.createIdentityQuestions();
    this.operations = new Operations(this.timings.operationMillis, (operation, request) =>
      this.coreTask.post({ type: 'operator-request', operation, request }),
    );
    this.leaderForward = new LeaderForward({
      send: (to, kind, payload) => this.peers.sendFrame(to, kind, payload),
      operate: (request) => this.operations.run(request),
      log: this.log,
    });
  }

  /** Opens the ports and starts the core. */
  start(): Promise<void> {
    this.starting ??= this.open();
    return this.starting;
  }

  private async open(): Promise<void> {
    const { listen, admin } = this.settings;
    await this.listenAt(listen, () => this.internal.start());
    this.admin = await this.listenAt(admin, () => this.startAdmin());
    this.peers.reconcile();
    this.reconcileTimer = setInterval(() => this.peers.reconcile(), RECONCILE_INTERVAL_MILLIS);
    this.coreTask.start();
    this.joining.start();
    this.isOpen = true;
    this.log.info('started', { replica: this.replica, listen: this.address, admin: this.adminAddress });
  }

  /** Waits for an address that is held for a moment, unless the member is stopped. */
  private listenAt<Listener>(address: Address, listen: () => Promise<Listener>): Promise<Listener> {
    return listenPatiently(address, listen, this.startAbort.signal);
  }

  private startAdmin(): Promise<HttpListener> {
    return startAdminServer({
      listen: this.settings.admin,
      metrics: createControlMetrics({
        raft: () => this.core.status(),
        cluster: () => this.operate({ type: 'get-status' }),
        steps: () => this.lastSteps,
        rangeWork: () => this.core.rangeWork(),
      }),
      health: () => ({ healthy: true, ...this.core.status() }),
      app: this.settings.createAdminApp?.(this) ?? null,
    });
  }

  /** Internal address, with the actual port. */
  get address(): Address {
    return this.internal.address;
  }

  /** Admin address, with the actual port. */
  get adminAddress(): Address {
    return this.admin?.address ?? this.settings.admin;
  }

  status(): RaftStatus {
    return this.core.status();
  }

  /** Replaces the members that join requests are sent to while this replica is not a member. */
  setPeers(peers: readonly Address[]): void {
    this.joining.setPeers(peers);
  }

  /** Executes an operator's request: here or, if another member leads, there. */
  async operate(request: OperatorRequest): Promise<OperatorResponse> {
    const response = await this.operations.run(request);
    const { leader } = this.core.status();
    if (
      response.type !== 'not-leader' ||
      !isForwardable(request) ||
      leader === null ||
      leader === this.replica
    ) {
      return response;
    }
    return (await this.leaderForward.forward(leader, request)) ?? response;
  }

  /** Planned stop: transfers leadership, completes requests in progress, then closes everything. */
  stop(): Promise<void> {
    this.startAbort.abort();
    this.stopping ??= this.shutDown();
    return this.stopping;
  }

  private async shutDown(): Promise<void> {
    this.log.info('stopping', { replica: this.replica });
    await this.startToEnd();
    await this.transferLeadership();
    await this.stopAdmin();
    this.joining.stop();
    await this.releaseVote();
    this.operations.abandon();
    clearInterval(this.reconcileTimer);
    this.coreTask.stop();
    this.peers.stop();
    this.holders.stop();
    await Promise.all([this.internal.stop(), this.sessions.stop()]);
    this.opened.stopWaiting?.();
    await this.persistTask.stop();
    this.log.info('stopped', { replica: this.replica });
  }

  /** Lets operators' requests end, but not longer than a supervisor lets the process: some can't, such as one whose body doesn't come. */
  private async stopAdmin(): Promise<void> {
    const { idleMillis, adminGraceMillis: graceMillis, adminStopMillis } = this.timings;
    const overdue = setTimeout(() => void this.endAdmin(), adminStopMillis);
    await this.admin?.stop({ idleMillis, graceMillis });
    clearTimeout(overdue);
  }

  private async endAdmin(): Promise<void> {
    this.log.warn('admin-requests-abandoned', { replica: this.replica, requests: this.operations.size });
    this.operations.abandon();
    await sleep(ABANDONED_ANSWERS_MILLIS);
    this.admin?.cutConnections();
  }

  /** Waits for a start in progress, whose failure `start` reports. */
  private async startToEnd(): Promise<void> {
    await this.starting?.catch((error) => this.log.warn('start-failed', { replica: this.replica, error }));
  }

  private async transferLeadership(): Promise<void> {
    const { role, membership } = this.core.status();
    if (role !== 'leader' || membership.voters.length < 2) {
      return;
    }
    void this.operate({ type: 'transfer-leadership', to: null });
    const deadline = performance.now() + this.timings.transferMillis;
    while (this.core.status().role === 'leader' && performance.now() < deadline) {
      await sleep(LEADER_CHECK_INTERVAL_MILLIS);
    }
  }

  /** Comes last of what needs the others, since a replica without a vote is soon no member any more. */
  private async releaseVote(): Promise<void> {
    if (!this.isOpen) {
      return;
    }
    const startedAt = performance.now();
    const outcome = await releaseVote({
      status: () => this.core.status(),
      forward: (leader, request) => this.leaderForward.forward(leader, request),
      maxMillis: this.timings.voteReleaseMillis,
    });
    const tookMillis = Math.round(performance.now() - startedAt);
    this.log.info('vote-release-ended', { replica: this.replica, outcome, tookMillis });
  }

  private onFatalError(error: Error): void {
    this.log.error('failed', { replica: this.replica, error });
    this.coreTask.stop();
    this.resolveFailed(error);
  }

  private onStepReport(report: StepReport): void {
    this.lastSteps = report;
    const work = this.core.rangeWork();
    const previous = work === null ? null : this.lastRangeWork;
    this.lastRangeWork = work;
    const { role, term, leader } = this.core.status();
    this.log.info('core-load', {
      role,
      term,
      leader,
      ...roundedMillis(report),
      ranges: work?.ranges ?? null,
      openCalls: work?.openCalls ?? null,
      calls: work === null ? null : work.calls - (previous?.calls ?? 0),
      decisions: work === null ? null : work.decisions - (previous?.decisions ?? 0),
    });
  }

  private execute(effect: ControlEffect): void {
    switch (effect.type) {
      case 'send-peer':
        this.peers.send(effect.message);
        return;
      case 'persist':
        this.persistTask.enqueue(effect.request);
        return;
      case 'send-router':
        this.internal.sendToRouter(effect.connection, effect.message);
        return;
      case 'call-upstream':
        this.sessions.call(effect.upstream, effect.address, effect.request);
        return;
      case 'call-holder':
        this.holders.call(effect.call);
        return;
      case 'ask-identity':
        this.identities.ask(effect.question);
        return;
      case 'answer-operator':
        this.operations.answer(effect.operation, effect.response);
        return;
      case 'log':
        this.log.log(effect.level, effect.event, effect.fields);
        return;
    }
  }

  private createJoinTask(identity: WireIdentity, limits: WireLimits): JoinTask {
    const { listen, advertise, peers, outgoing } = this.settings;
    return new JoinTask({
      self: this.replica,
      address: advertise ?? listen,
      peers: peers ?? [],
      localAddress: outgoing,
      identity,
      limits,
      log: this.log,
      status: () => this.core.status(),
    });
  }

  private createInternalServer(identity: WireIdentity, limits: WireLimits): InternalServer {
    return new InternalServer({
      listen: this.settings.listen,
      self: this.replica,
      identity,
      limits,
      log: this.log,
      owner: {
        onPeerMessage: (message, connection) => {
          this.peers.heardOn(message.from, connection);
          this.coreTask.post({ type: 'peer-message', message });
        },
        onForwarded: (frame, reply) => this.leaderForward.onFrame(frame, reply),
        onJoinRequest: ({ replica, address }) =>
          this.coreTask.post({ type: 'join-request', replica, address }),
        onPeerDisconnected: (replica, connection) => this.peers.disconnected(replica, connection),
        onRouterMessage: (connection, message) =>
          this.coreTask.post({ type: 'router-message', connection, message }),
        onRouterDisconnected: (connection) => this.coreTask.post({ type: 'router-gone', connection }),
      },
    });
  }

  private createHolderCalls(): HolderCalls {
    const { sessionMillis, releaseMillis } = this.timings;
    return new HolderCalls({
      protocol: this.settings.holders ?? DEFAULT_HOLDER_PROTOCOL,
      grantMillis: sessionMillis,
      releaseMillis,
      localAddress: this.settings.outgoing,
      log: this.log,
      ended: (call, outcome) => this.coreTask.post({ type: 'holder-answer', call, outcome }),
    });
  }

  private createIdentityQuestions(): IdentityQuestions {
    return new IdentityQuestions({
      protocol: this.settings.holders ?? DEFAULT_HOLDER_PROTOCOL,
      timeoutMillis: this.timings.sessionMillis,
      localAddress: this.settings.outgoing,
      log: this.log,
      answered: (question, answer) => this.coreTask.post({ type: 'identity-answer', question, answer }),
    });
  }

  private createSessions(): UpstreamSessions {
    return new UpstreamSessions({
      timeoutMillis: this.timings.sessionMillis,
      owner: {
        answered: (upstream, sequence, answer) =>
          this.coreTask.post({ type: 'upstream-answer', upstream, sequence, answer }),
        failed: (upstream, sequence) => this.coreTask.post({ type: 'upstream-failed', upstream, sequence }),
      },
      log: this.log,
      localAddress: this.settings.outgoing,
      secret: this.settings.secret,
    });
  }
}

function roundedMillis({
  steps,
  longestInput,
  longestWork,
  expiredInputs,
  ...millis
}: StepReport): StepReport {
  const rounded = (value: number): number => Math.round(value * 10) / 10;
  return {
    steps,
    longestInput,
    longestWork,
    expiredInputs,
    longestWaitMillis: rounded(millis.longestWaitMillis),
    longestCoreMillis: rounded(millis.longestCoreMillis),
    spanMillis: rounded(millis.spanMillis),
    busyMillis: rounded(millis.busyMillis),
    longestMillis: rounded(millis.longestMillis),
    lateMillis: rounded(millis.lateMillis),
  };
}
