/**
 * A control member as one deterministic core: Raft, the registry, session leases and placement on the leader, and the handling of
 * routers' messages and operators' requests.
 */

import { createRaft } from '../consensus/index.js';
import type { RaftConfig, RaftCore, RaftStatus, RestoredState, RoleEvidence } from '../consensus/types.js';
import type { SessionCall } from '../lease/granter-types.js';
import type { MonotonicMillis, ReplicaId, Revision, WallMillis } from '../model/identifiers.js';
import { createRegistry, decodeRegistry } from '../registry/index.js';
import type { Command, Registry, RegistryChange } from '../registry/types.js';
import { AccusedRuns } from './accused-runs.js';
import { controlStatus } from './control-status.js';
import { CrashReports } from './crash-reports.js';
import type { IdentityQuestion, QuestionId } from './identity-question.js';
import { LeaderDuties } from './leader-duties.js';
import { MembershipChanges } from './membership-changes.js';
import type { ControlToRouter } from './messages.js';
import { OperatorRequests } from './operator-requests.js';
import { ownershipLog } from './ownership-log.js';
import type { SettleProposal } from './pending-proposals.js';
import { type CommandOrigin, SYSTEM_ORIGIN } from './propose-command.js';
import { QuorumWatch } from './quorum-watch.js';
import { type DiskHandover, RaftAdapter, type RaftListener } from './raft-adapter.js';
import type { HolderCall } from './ranges/holder-call.js';
import { RouterRequests } from './router-requests.js';
import { DEFAULT_SNAPSHOT_BYTES, SnapshotTaker } from './snapshot-taker.js';
import type {
  ConnectionId,
  ControlConfig,
  ControlCore,
  ControlEffect,
  ControlInput,
  CoreWork,
  OperationId,
  OperatorResponse,
  RangeWork,
} from './types.js';
import { UnownedTracker } from './unowned-tracker.js';

const MAX_ENTRIES_PER_APPEND = 256;
const MAX_APPENDS_IN_FLIGHT = 8;
const SNAPSHOT_CHUNK_BYTES = 256 * 1024;
/** A read without an answer within this many election timeouts fails. */
const READ_ELECTION_TIMEOUTS = 2;

/** Creates a control member from the state restored from its disk. */
export function createControlNode(
  config: ControlConfig,
  restored: RestoredState,
  now: MonotonicMillis,
): ControlCore {
  const raft = createRaft(raftConfigOf(config), restored, now);
  const registry = restored.snapshot === null ? createRegistry() : decodeRegistry(restored.snapshot.data);
  const snapshotIndex = restored.snapshot?.lastIndex ?? 0;
  const previousBytes = restored.snapshot?.data.byteLength ?? 0;
  return new ControlNode(config, raft, registry, { snapshotIndex, previousBytes, now });
}

function raftConfigOf(config: ControlConfig): RaftConfig {
  return {
    ...config.raft,
    self: config.self,
    seed: config.seed,
    maxEntriesPerAppend: MAX_ENTRIES_PER_APPEND,
    maxAppendsInFlight: MAX_APPENDS_IN_FLIGHT,
    snapshotChunkBytes: SNAPSHOT_CHUNK_BYTES,
  };
}

/** State of a member at its start. */
interface StartState {
  readonly snapshotIndex: Revision;
  /** Size of the snapshot in bytes. */
  readonly previousBytes: number;
  readonly now: MonotonicMillis;
}

class ControlNode implements ControlCore, RaftListener {
  readonly #config: ControlConfig;
  readonly #raft: RaftAdapter;
  readonly #routers: RouterRequests;
  readonly #crashes: CrashReports;
  readonly #operators: OperatorRequests;
  readonly #membership: MembershipChanges;
  readonly #watch: QuorumWatch;
  readonly #accused: AccusedRuns;
  #questions: QuestionId = 0;
  #leaderDuties: LeaderDuties | null = null;
  #effects: ControlEffect[] = [];
  #wall: WallMillis = 0;
  #now: MonotonicMillis = 0;
  readonly #unowned = new UnownedTracker();
  /** When the leader, or the lack of one, last changed at this member. */
  #leaderSince: MonotonicMillis;
  #leaderId: ReplicaId | null = null;
  readonly #snapshots: SnapshotTaker;
  #routerMessages = 0;
  #routingSnapshots = 0;
  /** Whether routing data changed in this step. */
  #hasRegistryChange = false;

  constructor(config: ControlConfig, raft: RaftCore, registry: Registry, start: StartState) {
    const { now, ...snapshot } = start;
    this.#config = config;
    this.#leaderSince = now;
    const readTimeoutMillis = READ_ELECTION_TIMEOUTS * config.raft.electionTimeoutMillis;
    this.#raft = new RaftAdapter({ raft, registry, decodeRegistry, listener: this, readTimeoutMillis });
    const { snapshotEntries, snapshotBytes = DEFAULT_SNAPSHOT_BYTES } = config;
    this.#snapshots = new SnapshotTaker({ raft: this.#raft, snapshotEntries, snapshotBytes, ...snapshot });
    const shared = { config, raft: this.#raft, propose: this.#propose };
    const answer = (operation: OperationId, response: OperatorResponse): void =>
      this.#emit({ type: 'answer-operator', operation, response });
    const log = (event: string, fields: Readonly<Record<string, unknown>>): void =>
      this.#log('info', event, fields);
    this.#membership = new MembershipChanges({ ...shared, answer, log });
    const askIdentity = this.#askIdentity;
    const nextQuestion = this.#nextQuestion;
    this.#watch = new QuorumWatch({
      raft: this.#raft,
      heardAt: (replica) => this.#membership.heardAt(replica),
      joining: (now) => this.#membership.joining(now),
      log: (level, event, fields) => this.#log(level, event, fields),
    });
    this.#accused = new AccusedRuns({
      registry: () => this.#raft.registry,
      nextQuestion,
      ask: askIdentity,
      log,
    });
    this.#operators = new OperatorRequests({
      ...shared,
      answer,
      membership: this.#membership,
      status: (now) => controlStatus(this.#statusSource(now), now),
      onHeartbeat: (heartbeat, answer, now) =>
        this.#leaderDuties === null
          ? answer(null, now)
          : this.#leaderDuties.onHeartbeat(heartbeat, answer, now),
      mayHold: (upstream, now) => this.#leaderDuties?.mayHold(upstream, now) ?? true,
      askIdentity,
      nextQuestion,
      takeSnapshot: (now, taken) => this.#snapshots.request(now, taken),
      log: (event, fields) => this.#log('info', event, fields),
    });
    this.#crashes = new CrashReports({
      raft: this.#raft,
      accused: this.#accused,
      propose: this.#propose,
      terms: config.quarantine,
      log: (event, fields) => this.#log('info', event, fields),
    });
    this.#routers = new RouterRequests({
      ...shared,
      configLease: config.configLease,
      zone: config.zone,
      send: (connection, message) => this.#sendRouter(connection, message),
      report: (report, from, now) => {
        this.#leaderDuties?.onLoadReport(report, now);
        this.#leaderDuties?.onFleetReport(report, from, now);
        this.#leaderDuties?.onRelayReport(report, from, now);
      },
      crashes: (report, router, now) => this.#crashes.onReport(report, router, now),
      upstreams: (report, from, now) => this.#leaderDuties?.onUpstreamReport(report, from, now) ?? false,
    });
  }

  step(input: ControlInput, now: MonotonicMillis, wall: WallMillis): ControlEffect[] {
    this.#effects = [];
    this.#now = now;
    this.#wall = wall;
    this.#raft.beginStep();
    this.#handle(input, now);
    this.#runUntilIdle(now);
    this.#watch.look(now);
    if (this.#hasRegistryChange) {
      this.#hasRegistryChange = false;
      this.#unowned.update(this.#raft.registry, now);
      this.#routers.notify(now);
    }
    return this.#effects;
  }

  nextDeadline(): MonotonicMillis {
    return Math.min(
      this.#raft.nextDeadline(),
      this.#operators.nextDeadline(),
      this.#routers.nextDeadline(),
      this.#crashes.nextDeadline(),
      this.#membership.nextDeadline(),
      this.#snapshots.nextDeadline(),
      this.#leaderDuties?.nextDeadline(this.#now) ?? Number.POSITIVE_INFINITY,
    );
  }

  status(): RaftStatus {
    return this.#raft.status();
  }

  rangeWork(): RangeWork | null {
    return this.#leaderDuties?.rangeWork() ?? null;
  }

  work(): CoreWork {
    return {
      appliedEntries: this.#raft.appliedEntries,
      routerMessages: this.#routerMessages,
      routingSnapshots: this.#routingSnapshots,
      searchedSpans: this.#leaderDuties?.searchedSpans ?? 0,
    };
  }

  sendPeer(message: Parameters<RaftListener['sendPeer']>[0]): void {
    this.#emit({ type: 'send-peer', message });
  }

  persist(request: Parameters<RaftListener['persist']>[0]): void {
    this.#emit({ type: 'persist', request });
  }

  applied(changes: readonly RegistryChange[], now: MonotonicMillis): void {
    if (changes.length > 0) {
      this.#hasRegistryChange = true;
      this.#leaderDuties?.onRegistryChange(changes, now);
      this.#logOwnership(changes);
    }
  }

  entryFailed(index: Revision, command: string, fault: Error): void {
    this.#log('error', 'entry-not-applied', { index, command, reason: fault.message });
  }

  /** Logs changes of ownership, on the leader only so that each change is logged once. */
  #logOwnership(changes: readonly RegistryChange[]): void {
    if (this.#leaderDuties !== null) {
      this.#effects.push(...ownershipLog(changes));
    }
  }

  restored(snapshotBytes: number): void {
    this.#snapshots.restored(snapshotBytes);
    this.#hasRegistryChange = true;
  }

  roleChanged({ leaderHeardAt, quorumLostAt }: RoleEvidence, now: MonotonicMillis): void {
    const { role, term, leader } = this.#raft.status();
    const leaderHeardAgoMillis = millisSince(leaderHeardAt, now);
    const quorumHeardAgoMillis = millisSince(quorumLostAt, now);
    this.#log('info', 'role-changed', { role, term, leader, leaderHeardAgoMillis, quorumHeardAgoMillis });
    if (leader !== this.#leaderId) {
      this.#leaderId = leader;
      this.#leaderSince = now;
    }
    this.#leaderDuties?.end(now);
    this.#leaderDuties = role === 'leader' ? this.#beginLeadership(now) : null;
    this.#operators.roleChanged(now);
    this.#membership.onRoleChange(now);
  }

  handedOver({ to, writeSince, stableIndex }: DiskHandover, now: MonotonicMillis): void {
    const { term, lastIndex, commitIndex } = this.#raft.status();
    const writeMillis = millisSince(writeSince, now);
    this.#log('warn', 'leadership-handed-over', {
      to,
      term,
      lastIndex,
      commitIndex,
      stableIndex,
      writeMillis,
    });
  }

  #beginLeadership(now: MonotonicMillis): LeaderDuties {
    const parts = {
      config: this.#config,
      raft: this.#raft,
      propose: this.#propose,
      call: (call: SessionCall) => this.#emit({ type: 'call-upstream', ...call }),
      log: (event: string, fields: Readonly<Record<string, unknown>>) => this.#log('info', event, fields),
      callHolder: (call: HolderCall) => this.#emit({ type: 'call-holder', call }),
      nextQuestion: this.#nextQuestion,
      askIdentity: this.#askIdentity,
      routers: () => this.#routers.estimatedTotal,
      sendRouter: (connection: ConnectionId, message: ControlToRouter) =>
        this.#sendRouter(connection, message),
    };
    return new LeaderDuties(parts, this.#raft.status().term, now);
  }

  #handle(input: ControlInput, now: MonotonicMillis): void {
    switch (input.type) {
      case 'tick':
        break;
      case 'peer-message':
        this.#membership.onPeerMessage(input.message.from, now);
        this.#raft.feed({ type: 'message', message: input.message });
        break;
      case 'join-request':
        this.#membership.onJoinRequest(input.replica, input.address, now);
        break;
      case 'persisted':
        this.#raft.feed({ type: 'persisted', persistId: input.persistId });
        break;
      case 'router-message':
        this.#routers.handleMessage(input.connection, input.message, now);
        break;
      case 'router-gone':
        this.#routers.removeConnection(input.connection);
        this.#leaderDuties?.onRouterDisconnect(input.connection);
        break;
      case 'upstream-answer':
        this.#leaderDuties?.onSessionResponse(input.upstream, input.sequence, input.answer, now);
        break;
      case 'upstream-failed':
        this.#leaderDuties?.onSessionFailure(input.upstream, input.sequence, now);
        break;
      case 'holder-answer':
        this.#leaderDuties?.onHolderCallEnd(input.call, input.outcome, now);
        break;
      case 'identity-answer':
        this.#operators.onIdentityResponse(input.question, input.answer, now);
        this.#accused.onAnswer(input.question, input.answer, now);
        this.#leaderDuties?.onIdentityAnswer(input.question, input.answer, now);
        break;
      case 'operator-request':
        this.#operators.begin(input.operation, input.request, now);
        break;
    }
  }

  /** Runs all parts until none of them has input left for the Raft core. */
  #runUntilIdle(now: MonotonicMillis): void {
    this.#raft.feed({ type: 'tick' });
    while (this.#raft.run(now) || this.#snapshots.run(now)) {
      this.#operators.run(now);
      this.#routers.run(now);
      this.#crashes.run(now, this.#wall);
      this.#membership.run(now);
      this.#leaderDuties?.run(now);
    }
  }

  readonly #propose = (
    command: Command,
    settle: SettleProposal,
    origin: CommandOrigin = SYSTEM_ORIGIN,
  ): void => {
    this.#raft.propose({ ...origin, at: this.#wall, command }, settle, this.#now);
  };

  readonly #nextQuestion = (): QuestionId => {
    this.#questions += 1;
    return this.#questions;
  };

  readonly #askIdentity = (question: IdentityQuestion): void => {
    this.#emit({ type: 'ask-identity', question });
  };

  #statusSource(now: MonotonicMillis) {
    return {
      raft: this.#raft.status(),
      registry: this.#raft.registry,
      sessions: this.#leaderDuties?.sessions() ?? [],
      services: this.#leaderDuties?.measures(now) ?? [],
      needs: this.#leaderDuties?.needs(now) ?? [],
      fleet: this.#leaderDuties?.fleet(now) ?? null,
      routers: this.#routers.routers(),
      departed: this.#routers.departed(now),
      unowned: this.#unowned.list(this.#raft.registry, now),
      leaderSince: this.#leaderSince,
      ...this.#membership.view(now),
    };
  }

  #sendRouter(connection: ConnectionId, message: ControlToRouter): void {
    this.#routerMessages += 1;
    this.#routingSnapshots += message.type === 'sync-response' && message.snapshot !== null ? 1 : 0;
    this.#emit({ type: 'send-router', connection, message });
  }

  #emit(effect: ControlEffect): void {
    this.#effects.push(effect);
  }

  #log(level: 'info' | 'warn' | 'error', event: string, fields: Readonly<Record<string, unknown>>): void {
    this.#emit({ type: 'log', level, event, fields });
  }
}

function millisSince(at: MonotonicMillis | null, now: MonotonicMillis): number | null {
  return at === null ? null : Math.round(now - at);
}
