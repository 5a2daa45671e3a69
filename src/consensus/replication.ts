/** The leader's side of log replication: appends with flow control per member, responses, commit, confirmation. */
import type { ReplicaId } from '../model/identifiers.js';
import type { LeaderState } from './leader-state.js';
import { quorumValue } from './membership.js';
import type { Progress } from './progress.js';
import { beginSnapshotTransfer, continueSnapshotTransfer, sendSnapshotChunk } from './snapshot-sender.js';
import type { RaftState } from './state.js';
import type { AppendResponse, LogEntry, SnapshotResponse } from './types.js';

const DEFAULT_MAX_APPEND_BYTES = 1024 * 1024;

/** Appends an entry to the leader's own log; it is sent to the other members with the next persist. */
export function appendOwnEntry(state: RaftState, kind: LogEntry['kind'], data: Uint8Array): LogEntry {
  const entry: LogEntry = { index: state.log.lastIndex + 1, term: state.term, kind, data };
  state.appendEntries([entry]);
  if (kind === 'membership') {
    state.leaderState?.syncMembers(state.membership, state.self, state.log.lastIndex, state.now);
  }
  return entry;
}

/** Sends each member the entries that its window allows. */
export function replicateToAll(state: RaftState): void {
  for (const [replica, progress] of leaderStateOf(state).progress) {
    replicate(state, replica, progress);
  }
}

/** Sends entries up to the member's window, and the commit index if it wasn't sent yet. */
function replicate(state: RaftState, replica: ReplicaId, progress: Progress): void {
  const { maxAppendsInFlight } = state.config;
  probeIfWindowCompacted(state, progress);
  while (progress.nextIndex <= state.log.lastIndex && progress.canSend(maxAppendsInFlight)) {
    if (!sendEntries(state, replica, progress)) {
      return;
    }
  }
  const isCommitIndexSent = progress.sentCommitIndex >= state.commitIndex;
  if (progress.state === 'replicate' && !isCommitIndexSent) {
    sendAppend(state, replica, progress, []);
  }
}

/**
 * Returns to probing from the last known match if the log was compacted past unacknowledged appends: no further append
 * could reveal the gap to the member. The log may no longer contain the entries after that match.
 */
function probeIfWindowCompacted(state: RaftState, progress: Progress): void {
  const isCompacted = state.log.termAt(progress.nextIndex - 1) === undefined;
  if (progress.state === 'replicate' && isCompacted) {
    progress.becomeProbe(progress.matchIndex + 1);
  }
}

/**
 * Sends one append with entries. Returns false if no other may follow now: the member needs a snapshot, is unresponsive
 * or is being probed.
 */
function sendEntries(state: RaftState, replica: ReplicaId, progress: Progress): boolean {
  if (isUnresponsive(state, progress)) {
    return false;
  }
  if (state.log.termAt(progress.nextIndex - 1) === undefined) {
    beginSnapshotTransfer(state, replica, progress);
    return false;
  }
  const entries = entriesFrom(state, progress.nextIndex);
  sendAppend(state, replica, progress, entries);
  if (progress.state === 'probe') {
    progress.probeSent = true;
    return false;
  }
  const last = progress.nextIndex + entries.length - 1;
  progress.inFlight.push(last);
  progress.nextIndex = last + 1;
  return true;
}

/** Entries for one append, limited by number and bytes, but at least one. */
function entriesFrom(state: RaftState, from: number): LogEntry[] {
  const { maxEntriesPerAppend, maxAppendBytes = DEFAULT_MAX_APPEND_BYTES } = state.config;
  const to = Math.min(state.log.lastIndex, from + maxEntriesPerAppend - 1);
  const entries = state.log.slice(from, to);
  let bytes = 0;
  const firstExcess = entries.findIndex((entry, position) => {
    bytes += entry.data.byteLength;
    return position > 0 && bytes > maxAppendBytes;
  });
  return firstExcess === -1 ? entries : entries.slice(0, firstExcess);
}

function sendAppend(
  state: RaftState,
  replica: ReplicaId,
  progress: Progress,
  entries: readonly LogEntry[],
): void {
  const previousIndex = progress.nextIndex - 1;
  const previousTerm = state.log.termAt(previousIndex);
  const { term, commitIndex } = state;
  const { round } = leaderStateOf(state);
  if (previousTerm === undefined || progress.state === 'snapshot') {
    sendBareHeartbeat(state, replica);
    return;
  }
  progress.sentCommitIndex = commitIndex;
  state.send({
    type: 'append-request',
    to: replica,
    term,
    previousIndex,
    previousTerm,
    entries,
    commitIndex,
    round,
  });
}

/** Sends a heartbeat that matches any log, for a member whose log position is unknown or compacted. */
function sendBareHeartbeat(state: RaftState, replica: ReplicaId): void {
  const { term } = state;
  const { round } = leaderStateOf(state);
  const position = { previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0 };
  state.send({ type: 'append-request', to: replica, term, ...position, round });
}

/** Whether a member hasn't responded for an election timeout; such a member receives heartbeats only. */
export function isUnresponsive(state: RaftState, progress: Progress): boolean {
  return state.now - progress.lastContactAt >= state.config.electionTimeoutMillis;
}

/** Sends one heartbeat to each member; with `retry`, also resends unacknowledged probes and snapshot chunks. */
export function broadcastHeartbeat(state: RaftState, retry: boolean): void {
  const leaderState = leaderStateOf(state);
  for (const [replica, progress] of leaderState.progress) {
    if (retry) {
      resendUnacknowledged(state, replica, progress);
    }
    sendAppend(state, replica, progress, []);
  }
  if (retry) {
    leaderState.heartbeatDeadline = state.now + state.config.heartbeatMillis;
  }
}

function resendUnacknowledged(state: RaftState, replica: ReplicaId, progress: Progress): void {
  if (isUnresponsive(state, progress)) {
    if (progress.state === 'replicate') {
      progress.becomeProbe(progress.matchIndex + 1);
    }
    return;
  }
  progress.probeSent = false;
  if (progress.transfer !== undefined) {
    // A round trip, with the time to sync the last chunk, may take several heartbeats.
    const waitedMillis = state.now - progress.transfer.sentAt;
    if (waitedMillis >= state.config.electionTimeoutMillis) {
      sendSnapshotChunk(state, replica, progress);
    }
    return;
  }
  replicate(state, replica, progress);
}

/** Handles a member's response to an append of the current term. */
export function handleAppendResponse(state: RaftState, response: AppendResponse): void {
  const progress = state.leaderState?.progress.get(response.from);
  if (progress === undefined) {
    return;
  }
  recordResponse(state, progress, response.round);
  if (!response.success) {
    if (progress.handleRejection(response.matchIndex)) {
      replicate(state, response.from, progress);
    }
    return;
  }
  recordMatch(state, progress, response.matchIndex);
  replicate(state, response.from, progress);
}

/** Handles a member's response to a snapshot chunk of the current term. */
export function handleSnapshotResponse(state: RaftState, response: SnapshotResponse): void {
  const progress = state.leaderState?.progress.get(response.from);
  if (progress === undefined) {
    return;
  }
  recordResponse(state, progress, response.round);
  if (continueSnapshotTransfer(state, progress, response)) {
    recordMatch(state, progress, response.lastIndex);
    replicate(state, response.from, progress);
  }
}

/** Any response of the current term counts for the quorum check and for confirmation rounds. */
function recordResponse(state: RaftState, progress: Progress, round: number): void {
  progress.lastContactAt = state.now;
  progress.acknowledgedRound = Math.max(progress.acknowledgedRound, round);
}

function recordMatch(state: RaftState, progress: Progress, matchIndex: number): void {
  progress.recordMatch(matchIndex, state.now);
  progress.recordRound(state.commitIndex, state.now);
  const snapshotDone = progress.transfer === undefined || matchIndex >= progress.transfer.snapshot.lastIndex;
  const mayReplicate = progress.state === 'probe' || snapshotDone;
  if (progress.state !== 'replicate' && mayReplicate) {
    progress.becomeReplicate();
  }
}

/** Commits entries that a quorum has synced, if of the current term. Returns whether the commit index grew. */
export function advanceCommit(state: RaftState): boolean {
  if (state.commitIndex === state.log.lastIndex) {
    return false;
  }
  const { progress } = leaderStateOf(state);
  const index = quorumValue(state.membership, (replica) =>
    replica === state.self ? state.stableIndex : (progress.get(replica)?.matchIndex ?? 0),
  );
  if (index <= state.commitIndex || state.log.termAt(index) !== state.term) {
    return false;
  }
  state.commitIndex = index;
  return true;
}

/** Latest time since which a quorum, including this leader, has responded. */
export function quorumContactAt(state: RaftState): number {
  const { progress } = leaderStateOf(state);
  return quorumValue(state.membership, (replica) =>
    replica === state.self ? state.now : (progress.get(replica)?.lastContactAt ?? Number.NEGATIVE_INFINITY),
  );
}

/**
 * Whether a member is close enough to the leader to vote: it has synced what was committed an election timeout ago. While entries
 * are committed all the time, hardly any member has synced all of them; a voter with a slower disk than the others never has.
 */
export function isCaughtUp(state: RaftState, progress: Progress): boolean {
  return progress.isCaughtUp(state.commitIndex, state.config.electionTimeoutMillis, state.now);
}

/** State of a leader. Must only be called on a leader. */
export function leaderStateOf(state: RaftState): LeaderState {
  return state.leaderState as LeaderState;
}
