/**
 * Handover by a leader whose disk hangs: a replica applies only what is on its own disk, so that such a leader can answer no change,
 * though its heartbeats keep the others from electing another one.
 */
import type { ReplicaId } from '../model/identifiers.js';
import { hasQuorum } from './membership.js';
import type { Progress } from './progress.js';
import { isUnresponsive, leaderStateOf, replicateToAll } from './replication.js';
import type { RaftState } from './state.js';
import { startTransfer } from './transfer.js';

/**
 * Starts a transfer if this leader's write is overdue and a quorum without it has synced more than it has and keeps up. Without such a
 * quorum the leader stays: it can still confirm readings, and nobody could commit more.
 */
export function handOverIfDiskHangs(state: RaftState): void {
  const leaderState = leaderStateOf(state);
  if (!state.isWriteOverdue || leaderState.transfer !== undefined) {
    return;
  }
  if (!hasQuorum(state.membership, (replica) => canGoOn(state, replica))) {
    return;
  }
  const target = nextTarget(state);
  if (target === undefined) {
    return;
  }
  leaderState.askedToTakeOver.add(target);
  startTransfer(state, target, 'disk-hangs');
  // What was proposed since the write began may not have been sent yet.
  replicateToAll(state);
}

/** Whether another member responds and shows that its disk takes what this leader's doesn't, and still does. */
function canGoOn(state: RaftState, replica: ReplicaId): boolean {
  const progress = leaderStateOf(state).progress.get(replica);
  return (
    progress !== undefined &&
    progress.matchIndex > state.stableIndex &&
    !isUnresponsive(state, progress) &&
    keepsUp(state, progress)
  );
}

/** Whether a member has synced all entries, or some within the last election timeout: a disk may hang after it synced others. */
function keepsUp(state: RaftState, { matchIndex, matchGrewAt }: Progress): boolean {
  const hasAll = matchIndex >= state.log.lastIndex;
  return hasAll || state.now - matchGrewAt < state.config.electionTimeoutMillis;
}

/** The voter that has synced most, of those that were asked least often; a voter that is about to leave is none. */
function nextTarget(state: RaftState): ReplicaId | undefined {
  const { progress, askedToTakeOver } = leaderStateOf(state);
  const able = state.membership.voters.filter((voter) => canGoOn(state, voter));
  const unasked = able.filter((voter) => !askedToTakeOver.has(voter));
  if (unasked.length === 0) {
    askedToTakeOver.clear();
  }
  const matchIndexOf = (voter: ReplicaId): number => progress.get(voter)?.matchIndex ?? 0;
  const candidates = unasked.length > 0 ? unasked : able;
  return candidates.sort((left, right) => matchIndexOf(right) - matchIndexOf(left))[0];
}
