/** The Raft core: processes one input per step, then performs the commits, sends and applies that the input allows. */
import { handOverIfDiskHangs } from './disk-handover.js';
import { handleElectionTimeout } from './election.js';
import { handleMessage } from './messages.js';
import { takeOwnSnapshot } from './own-snapshot.js';
import { PauseGrace } from './pause-grace.js';
import {
  isRemovedFromVoters,
  leaveJointWhenCommitted,
  propose,
  proposeLearner,
  proposeLearnerRemoval,
  proposeVoters,
} from './proposals.js';
import {
  beginUrgentReadRound,
  expireForwardedReads,
  finishReadRounds,
  openReadRound,
  reportReadyReads,
  startRead,
} from './read-index.js';
import {
  advanceCommit,
  broadcastHeartbeat,
  leaderStateOf,
  quorumContactAt,
  replicateToAll,
} from './replication.js';
import { becomeFollower } from './roles.js';
import { RaftState } from './state.js';
import { raftDetails, raftStatus } from './status.js';
import { advanceTransfer, sendTimeoutNowToBestVoter, startTransfer } from './transfer.js';
import type {
  RaftConfig,
  RaftCore,
  RaftDetails,
  RaftEffect,
  RaftInput,
  RaftStatus,
  RestoredState,
} from './types.js';

type RoleReport = Extract<RaftEffect, { type: 'role-changed' }>;

/**
 * Creates the core of one replica from its restored state. The caller must load `restored.snapshot` into its state
 * machine; later entries are emitted as `apply` effects once they are known to be committed.
 */
export function createRaft(config: RaftConfig, restored: RestoredState, now: number): RaftCore {
  return new Raft(config, restored, now);
}

class Raft implements RaftCore {
  readonly #state: RaftState;
  readonly #grace: PauseGrace;
  #lastRoleReport: RoleReport;
  /** The status since the last step; `null`: nobody has asked for it yet. */
  #status: RaftStatus | null = null;

  constructor(config: RaftConfig, restored: RestoredState, now: number) {
    this.#state = new RaftState(config, restored, now);
    this.#grace = new PauseGrace(config.heartbeatMillis);
    this.#lastRoleReport = this.#roleReport();
  }

  step(input: RaftInput, now: number): RaftEffect[] {
    const state = this.#state;
    state.now = Math.max(state.now, now);
    state.effects = [];
    this.#status = null;
    this.#handleInput(input);
    this.#finish();
    return state.effects;
  }

  nextDeadline(): number {
    const state = this.#state;
    const { leaderState, electionDeadline, forwardedReads } = state;
    if (leaderState === undefined) {
      const election = this.#grace.extendedDeadline(electionDeadline);
      return Math.min(election, ...forwardedReads.map((read) => read.deadline));
    }
    const quorumDeadline = this.#grace.extendedDeadline(this.#quorumDeadline());
    const transferDeadline = leaderState.transfer?.deadline ?? Number.POSITIVE_INFINITY;
    return Math.min(leaderState.heartbeatDeadline, quorumDeadline, transferDeadline);
  }

  status(): RaftStatus {
    this.#status ??= raftStatus(this.#state);
    return this.#status;
  }

  details(): RaftDetails {
    return raftDetails(this.#state);
  }

  #handleInput(input: RaftInput): void {
    const state = this.#state;
    switch (input.type) {
      case 'tick':
        this.#tick();
        return;
      case 'message':
        handleMessage(state, input.message);
        return;
      case 'persisted':
        this.#onPersisted(input.persistId);
        return;
      case 'propose':
        propose(state, input.proposalId, input.data);
        return;
      case 'add-learner':
        proposeLearner(state, input.proposalId, input.replica, input.address);
        return;
      case 'change-voters':
        proposeVoters(state, input.proposalId, input.voters);
        return;
      case 'remove-learner':
        proposeLearnerRemoval(state, input.proposalId, input.replica);
        return;
      case 'read':
        startRead(state, input.readId, input.mayWait ?? false);
        return;
      case 'transfer':
        startTransfer(state, input.to);
        return;
      case 'snapshot-taken':
        takeOwnSnapshot(state, input.lastIndex, input.data);
        return;
    }
  }

  #tick(): void {
    const state = this.#state;
    if (state.leaderState !== undefined) {
      this.#leaderTick();
      return;
    }
    expireForwardedReads(state);
    const { electionDeadline, now } = state;
    if (this.#grace.hasPassed(electionDeadline, electionDeadline, now)) {
      handleElectionTimeout(state);
    }
  }

  /** A leader steps down if no quorum has responded for an election timeout. */
  #leaderTick(): void {
    const state = this.#state;
    const { heartbeatDeadline } = leaderStateOf(state);
    if (this.#grace.hasPassed(this.#quorumDeadline(), heartbeatDeadline, state.now)) {
      state.quorumLostAt = quorumContactAt(state);
      becomeFollower(state, state.term, null);
      return;
    }
    if (state.now >= heartbeatDeadline) {
      openReadRound(state);
      broadcastHeartbeat(state, true);
      handOverIfDiskHangs(state);
    }
  }

  #quorumDeadline(): number {
    return quorumContactAt(this.#state) + this.#state.config.electionTimeoutMillis;
  }

  #onPersisted(persistId: number): void {
    const state = this.#state;
    const persisted = state.persistQueue.completePersist(persistId);
    if (persisted === undefined) {
      return;
    }
    state.stableIndex = persisted.stableIndex ?? state.stableIndex;
    if (persisted.snapshot !== undefined && persisted.snapshot === state.pendingRestore) {
      state.pendingRestore = undefined;
      state.appliedIndex = persisted.snapshot.lastIndex;
      state.emit({ type: 'restore', snapshot: persisted.snapshot });
    }
    for (const action of persisted.actions) {
      action();
    }
  }

  /** Runs after every input: advances the commit index, then emits the next persist, appends, reads and applies. */
  #finish(): void {
    const state = this.#state;
    const committed = this.#advanceCommit();
    const request = state.persistQueue.flush(state.now);
    if (request !== undefined) {
      state.emit({ type: 'persist', request });
    }
    if (state.leaderState !== undefined) {
      const hasNewEntries = request?.entries !== undefined;
      if (committed || hasNewEntries) {
        replicateToAll(state);
      }
      advanceTransfer(state);
      beginUrgentReadRound(state);
      finishReadRounds(state);
      this.#stepDownIfRemoved();
    }
    this.#apply();
    reportReadyReads(state);
    this.#reportRole();
  }

  #advanceCommit(): boolean {
    const state = this.#state;
    if (state.leaderState === undefined || !advanceCommit(state)) {
      return false;
    }
    leaveJointWhenCommitted(state);
    return true;
  }

  #stepDownIfRemoved(): void {
    const state = this.#state;
    if (isRemovedFromVoters(state)) {
      sendTimeoutNowToBestVoter(state);
      becomeFollower(state, state.term, null);
    }
  }

  /** Applies committed entries, but only those that are also on this replica's own disk. */
  #apply(): void {
    const state = this.#state;
    const to = Math.min(state.commitIndex, state.stableIndex);
    if (state.pendingRestore !== undefined || to <= state.appliedIndex) {
      return;
    }
    const entries = state.log.slice(state.appliedIndex + 1, to);
    state.appliedIndex = to;
    state.emit({ type: 'apply', entries });
  }

  #roleReport(): RoleReport {
    const { reportedRole: role, term, leader, leaderHeardAt, quorumLostAt } = this.#state;
    const evidence = { leaderHeardAt: Number.isFinite(leaderHeardAt) ? leaderHeardAt : null, quorumLostAt };
    return { type: 'role-changed', role, term, leader, evidence };
  }

  #reportRole(): void {
    const report = this.#roleReport();
    const { role, term, leader } = this.#lastRoleReport;
    const changed = report.role !== role || report.term !== term || report.leader !== leader;
    if (changed) {
      this.#lastRoleReport = report;
      this.#state.emit(report);
    }
  }
}
