/** Proposals to the leader: commands and changes of membership. */
import type { Address, ReplicaId } from '../model/identifiers.js';
import {
  encodeMembership,
  enterJoint,
  isJoint,
  isVoter,
  leaveJoint,
  withLearner,
  withoutLearner,
} from './membership.js';
import { appendOwnEntry, leaderStateOf } from './replication.js';
import type { RaftState } from './state.js';
import type { LogEntry, Membership, RaftEffect } from './types.js';

type RejectionReason = Extract<RaftEffect, { type: 'proposal-rejected' }>['reason'];

/** Entries that may wait for their commit; more proposals are refused as overload. */
const MAX_UNCOMMITTED_ENTRIES = 32_768;

/** Appends a command. */
export function propose(state: RaftState, proposalId: number, data: Uint8Array): void {
  const refusal = refusalOfCommand(state);
  if (refusal !== undefined) {
    reject(state, proposalId, refusal);
    return;
  }
  accept(state, proposalId, appendOwnEntry(state, 'command', data));
}

function refusalOfCommand(state: RaftState): RejectionReason | undefined {
  if (state.leaderState === undefined || state.leaderState.transfer !== undefined) {
    return 'not-leader';
  }
  const uncommitted = state.log.lastIndex - state.commitIndex;
  return uncommitted >= MAX_UNCOMMITTED_ENTRIES ? 'overloaded' : undefined;
}

/** Proposes to take in a replica without a vote. */
export function proposeLearner(
  state: RaftState,
  proposalId: number,
  replica: ReplicaId,
  address: Address,
): void {
  proposeMembership(state, proposalId, () => withLearner(state.membership, replica, address));
}

/** Proposes to take a learner out. */
export function proposeRemoval(state: RaftState, proposalId: number, replica: ReplicaId): void {
  proposeMembership(state, proposalId, () => withoutLearner(state.membership, replica));
}

/** Enters a joint membership; `leaveJointWhenCommitted` ends it. */
export function proposeVoters(state: RaftState, proposalId: number, voters: readonly ReplicaId[]): void {
  const distinct = [...new Set(voters)];
  proposeMembership(state, proposalId, () => {
    const ready = distinct.length > 0 && distinct.every((replica) => mayVote(state, replica));
    return ready ? enterJoint(state.membership, distinct) : undefined;
  });
}

/** Present voters may stay; a new one must be a learner that holds and has synced everything committed. */
function mayVote(state: RaftState, replica: ReplicaId): boolean {
  if (isVoter(state.membership, replica)) {
    return true;
  }
  const progress = leaderStateOf(state).progress.get(replica);
  const isLearner = state.membership.learners.includes(replica);
  return isLearner && progress !== undefined && progress.matchIndex >= state.commitIndex;
}

/** `change` gives the new membership, or `undefined` if a new voter isn't caught up. */
function proposeMembership(state: RaftState, proposalId: number, change: () => Membership | undefined): void {
  const refusal = refusalOfCommand(state) ?? refusalOfMembership(state);
  if (refusal !== undefined) {
    reject(state, proposalId, refusal);
    return;
  }
  const membership = change();
  if (membership === undefined) {
    reject(state, proposalId, 'not-caught-up');
    return;
  }
  accept(state, proposalId, appendOwnEntry(state, 'membership', encodeMembership(membership)));
}

/** One change at a time, and none before the leader has committed an entry of its own term. */
function refusalOfMembership(state: RaftState): RejectionReason | undefined {
  const committedOwn = state.log.termAt(state.commitIndex) === state.term;
  const pending = state.memberships.currentIndex > state.commitIndex || isJoint(state.membership);
  return pending || !committedOwn ? 'membership-change-pending' : undefined;
}

/** Ends a joint membership once it is committed. True if an entry was appended. */
export function leaveJointWhenCommitted(state: RaftState): boolean {
  const { membership, memberships, commitIndex } = state;
  if (!isJoint(membership) || memberships.currentIndex > commitIndex) {
    return false;
  }
  appendOwnEntry(state, 'membership', encodeMembership(leaveJoint(membership)));
  return true;
}

/** Whether this leader was voted out, and the change is committed. */
export function isVotedOut(state: RaftState): boolean {
  const { membership, memberships, commitIndex } = state;
  return memberships.currentIndex <= commitIndex && !isVoter(membership, state.self);
}

function accept(state: RaftState, proposalId: number, entry: LogEntry): void {
  const { index, term } = entry;
  state.emit({ type: 'proposal-accepted', proposalId, index, term });
}

function reject(state: RaftState, proposalId: number, reason: RejectionReason): void {
  const leader = state.leaderState?.transfer?.to ?? state.leader;
  state.emit({ type: 'proposal-rejected', proposalId, reason, leader });
}
