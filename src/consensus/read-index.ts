/**
 * Linearizable reads without a log entry (ReadIndex): a read returns the commit index of a leader that a quorum
 * confirmed in a round started after the read was requested.
 */
import type { ReplicaId } from '../model/identifiers.js';
import type { PendingRead, ReadBatch } from './leader-state.js';
import { quorumValue } from './membership.js';
import { broadcastHeartbeat, leaderStateOf } from './replication.js';
import type { RaftState } from './state.js';
import type { ReadIndexRequest, ReadIndexResponse } from './types.js';

/** Starts a read on this replica. With `mayWait` it starts no round of its own; the next heartbeats confirm it. */
export function startRead(state: RaftState, readId: number, mayWait: boolean): void {
  if (state.leaderState !== undefined) {
    state.leaderState.waitingReads.push({ from: null, readId, mayWait });
    return;
  }
  const { leader, term } = state;
  if (leader === null) {
    state.emit({ type: 'read-failed', readId, leader });
    return;
  }
  const deadline = state.now + state.config.electionTimeoutMillis;
  const forwardId = state.allocateForwardId();
  state.forwardedReads.push({ forwardId, readId, deadline });
  state.send({ type: 'read-index-request', to: leader, term, readId: forwardId, mayWait });
}

/** Handles a read that a follower forwarded. */
export function handleReadIndexRequest(state: RaftState, request: ReadIndexRequest): void {
  const { from, readId, mayWait } = request;
  if (state.leaderState !== undefined) {
    state.leaderState.waitingReads.push({ from, readId, mayWait });
    return;
  }
  respondToFollower(state, from, readId, null);
}

/** Completes a read that this follower forwarded to its leader; responses of other replicas are dropped. */
export function handleReadIndexResponse(state: RaftState, response: ReadIndexResponse): void {
  const { readId: forwardId, index } = response;
  const read = state.forwardedReads.find((candidate) => candidate.forwardId === forwardId);
  if (read === undefined || response.from !== state.leader) {
    return;
  }
  if (index === null) {
    forgetLeader(state);
    return;
  }
  state.forwardedReads = state.forwardedReads.filter((candidate) => candidate !== read);
  const { readId } = read;
  state.confirmedReads.push({ readId, index });
}

/** Called when the leader of the current term says that it leads no more; nobody else can lead in that term. */
function forgetLeader(state: RaftState): void {
  state.leader = null;
  failReads(state, null);
}

/** Starts a round for the waiting reads if one of them may not wait and no round is outstanding. */
export function beginUrgentReadRound(state: RaftState): void {
  const { waitingReads, readBatches } = leaderStateOf(state);
  const hasUrgentRead = waitingReads.some((read) => !read.mayWait);
  if (hasUrgentRead && readBatches.length === 0 && openReadRound(state)) {
    broadcastHeartbeat(state, false);
  }
}

/**
 * Makes the next heartbeats a confirmation round for all waiting reads, if the leader has committed an entry of its own
 * term. Returns whether a round was opened. An outstanding round doesn't prevent it, since its messages may be lost.
 */
export function openReadRound(state: RaftState): boolean {
  const leaderState = leaderStateOf(state);
  const { waitingReads, readBatches } = leaderState;
  const hasCommittedInTerm = state.log.termAt(state.commitIndex) === state.term;
  if (waitingReads.length === 0 || !hasCommittedInTerm) {
    return false;
  }
  leaderState.round += 1;
  leaderState.waitingReads = [];
  readBatches.push({ round: leaderState.round, index: state.commitIndex, reads: waitingReads });
  return true;
}

/** Completes the reads whose round a quorum has acknowledged. */
export function finishReadRounds(state: RaftState): void {
  const leaderState = leaderStateOf(state);
  if (leaderState.readBatches.length === 0) {
    return;
  }
  const confirmedRound = quorumValue(state.membership, (replica) =>
    replica === state.self ? leaderState.round : (leaderState.progress.get(replica)?.acknowledgedRound ?? 0),
  );
  while ((leaderState.readBatches[0]?.round ?? Number.POSITIVE_INFINITY) <= confirmedRound) {
    confirmBatch(state, leaderState.readBatches.shift() as ReadBatch);
  }
}

function confirmBatch(state: RaftState, batch: ReadBatch): void {
  for (const { from, readId } of batch.reads) {
    if (from === null) {
      state.confirmedReads.push({ readId, index: batch.index });
    } else {
      respondToFollower(state, from, readId, batch.index);
    }
  }
}

function respondToFollower(state: RaftState, to: ReplicaId, readId: number, index: number | null): void {
  const { term } = state;
  state.send({ type: 'read-index-response', to, term, readId, index });
}

/** Reports the confirmed reads whose index this replica has applied. */
export function reportReadyReads(state: RaftState): void {
  const ready = state.confirmedReads.filter((read) => read.index <= state.appliedIndex);
  if (ready.length === 0) {
    return;
  }
  state.confirmedReads = state.confirmedReads.filter((read) => read.index > state.appliedIndex);
  for (const { readId, index } of ready) {
    state.emit({ type: 'read-ready', readId, index });
  }
}

/** Fails forwarded reads to which the leader has not responded for an election timeout. */
export function expireForwardedReads(state: RaftState): void {
  const expired = state.forwardedReads.filter((read) => read.deadline <= state.now);
  state.forwardedReads = state.forwardedReads.filter((read) => read.deadline > state.now);
  for (const { readId } of expired) {
    state.emit({ type: 'read-failed', readId, leader: state.leader });
  }
}

/** Fails every unconfirmed read after a change of leader. */
export function failReads(state: RaftState, leader: ReplicaId | null): void {
  const forwarded = state.forwardedReads;
  state.forwardedReads = [];
  for (const { readId } of forwarded) {
    state.emit({ type: 'read-failed', readId, leader });
  }
  if (state.leaderState !== undefined) {
    const { readBatches, waitingReads } = state.leaderState;
    state.leaderState.readBatches = [];
    state.leaderState.waitingReads = [];
    failLeaderReads(state, [...readBatches.flatMap((batch) => batch.reads), ...waitingReads], leader);
  }
}

function failLeaderReads(state: RaftState, reads: readonly PendingRead[], leader: ReplicaId | null): void {
  for (const { from, readId } of reads) {
    if (from === null) {
      state.emit({ type: 'read-failed', readId, leader });
    } else {
      respondToFollower(state, from, readId, null);
    }
  }
}
