/** Proposals to the leader: commands and membership changes. */
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
import { appendOwnEntry, isCaughtUp, leaderStateOf } from './replication.js';
import type { RaftState } from './state.js';
import type { LogEntry, Membership, RaftEffect } from './types.js';

type RejectionReason = Extract<RaftEffect, { type: 'proposal-rejected' }>['reason'];

/** Limit of uncommitted entries; further proposals are rejected as `overloaded`. */
const MAX_UNCOMMITTED_ENTRIES = 32_768;

/** Appends a command, or rejects it if this replica can't accept one. */
export function propose(state: RaftState, proposalId: number, data: Uint8Array): void {
  const rejection = rejectionOfCommand(state);
  if (rejection !== undefined) {
    reject(state, proposalId, rejection);
    return;
  }
  accept(state, proposalId, appendOwnEntry(state, 'command', data));
}

function rejectionOfCommand(state: RaftState): RejectionReason | undefined {
  if (state.leaderState === undefined || state.leaderState.transfer !== undefined) {
    return 'not-leader';
  }
  const uncommitted = state.log.lastIndex - state.commitIndex;
  return uncommitted >= MAX_UNCOMMITTED_ENTRIES ? 'overloaded' : undefined;
}

/** Proposes to add a replica as a learner. */
export function proposeLearner(
  state: RaftState,
  proposalId: number,
  replica: ReplicaId,
  address: Address,
): void {
  proposeMembership(state, proposalId, () => withLearner(state.membership, replica, address));
}

/** Proposes to remove a learner. */
export function proposeLearnerRemoval(state: RaftState, proposalId: number, replica: ReplicaId): void {
  proposeMembership(state, proposalId, () => withoutLearner(state.membership, replica));
}

/** Proposes a joint membership, which `leaveJointWhenCommitted` ends. */
export function proposeVoters(state: RaftState, proposalId: number, voters: readonly ReplicaId[]): void {
  const distinct = [...new Set(voters)];
  proposeMembership(state, proposalId, () => {
    const ready = distinct.length > 0 && distinct.every((replica) => canBeVoter(state, replica));
    return ready ? enterJoint(state.membership, distinct) : undefined;
  });
}

/** Current voters may stay; a new voter must be a learner that is caught up. */
function canBeVoter(state: RaftState, replica: ReplicaId): boolean {
  if (isVoter(state.membership, replica)) {
    return true;
  }
  const progress = leaderStateOf(state).progress.get(replica);
  const isLearner = state.membership.learners.includes(replica);
  return isLearner && progress !== undefined && isCaughtUp(state, progress);
}

/** `buildMembership` returns the new membership, or `undefined` if a new voter isn't caught up. */
function proposeMembership(
  state: RaftState,
  proposalId: number,
  buildMembership: () => Membership | undefined,
): void {
  const rejection = rejectionOfCommand(state) ?? rejectionOfMembershipChange(state);
  if (rejection !== undefined) {
    reject(state, proposalId, rejection);
    return;
  }
  const membership = buildMembership();
  if (membership === undefined) {
    reject(state, proposalId, 'not-caught-up');
    return;
  }
  accept(state, proposalId, appendOwnEntry(state, 'membership', encodeMembership(membership)));
}

/** Allows one change at a time, and none before the leader has committed an entry of its own term. */
function rejectionOfMembershipChange(state: RaftState): RejectionReason | undefined {
  const hasCommittedInTerm = state.log.termAt(state.commitIndex) === state.term;
  const pending = state.memberships.currentIndex > state.commitIndex || isJoint(state.membership);
  return pending || !hasCommittedInTerm ? 'membership-change-pending' : undefined;
}

/** Ends a joint membership once it is committed. Returns whether an entry was appended. */
export function leaveJointWhenCommitted(state: RaftState): boolean {
  const { membership, memberships, commitIndex } = state;
  if (!isJoint(membership) || memberships.currentIndex > commitIndex) {
    return false;
  }
  appendOwnEntry(state, 'membership', encodeMembership(leaveJoint(membership)));
  return true;
}

/** Whether a committed membership no longer has this leader as a voter. */
export function isRemovedFromVoters(state: RaftState): boolean {
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
