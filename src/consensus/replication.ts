/** The leader's side of log replication: appends with flow control per member, answers, commit, confirmation. */
import type { ReplicaId } from '../model/identifiers.js';
import type { LeaderState } from './leader-state.js';
import { quorumValue } from './membership.js';
import type { Progress } from './progress.js';
import { beginSnapshotTransfer, continueSnapshotTransfer, sendSnapshotChunk } from './snapshot-sender.js';
import type { RaftState } from './state.js';
import type { AppendResponse, LogEntry, SnapshotResponse } from './types.js';

const DEFAULT_MAX_APPEND_BYTES = 1024 * 1024;

/** Appends an entry of the leader's own to its log; it goes out to the others with the next persist. */
export function appendOwnEntry(state: RaftState, kind: LogEntry['kind'], data: Uint8Array): LogEntry {
  const entry: LogEntry = { index: state.log.lastIndex + 1, term: state.term, kind, data };
  state.appendEntries([entry]);
  if (kind === 'membership') {
    state.leaderState?.syncMembers(state.membership, state.self, state.log.lastIndex, state.now);
  }
  return entry;
}

/** Sends what each member may be sent now. */
export function replicateToAll(state: RaftState): void {
  for (const [replica, progress] of leaderStateOf(state).progress) {
    replicate(state, replica, progress);
  }
}

/** Sends entries up to the member's window, and the commit index if the member wasn't told of it. */
function replicate(state: RaftState, replica: ReplicaId, progress: Progress): void {
  const { maxAppendsInFlight } = state.config;
  leaveCompactedWindow(state, progress);
  while (progress.nextIndex <= state.log.lastIndex && progress.canSend(maxAppendsInFlight)) {
    if (!sendEntries(state, replica, progress)) {
      return;
    }
  }
  const knowsCommit = progress.sentCommitIndex >= state.commitIndex;
  if (progress.state === 'replicate' && !knowsCommit) {
    sendAppend(state, replica, progress, []);
  }
}

/**
 * The log was cut behind what a member was sent and didn't answer: no append can show it the gap any more, so it starts
 * over from what it is known to hold, which the log may lack.
 */
function leaveCompactedWindow(state: RaftState, progress: Progress): void {
  const isCompacted = state.log.termAt(progress.nextIndex - 1) === undefined;
  if (progress.state === 'replicate' && isCompacted) {
    progress.becomeProbe(progress.matchIndex + 1);
  }
}

/** Sends one append with entries; false if the member needs a snapshot or is silent. */
function sendEntries(state: RaftState, replica: ReplicaId, progress: Progress): boolean {
  if (isSilent(state, progress)) {
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

/** Entries for one append, bounded by number and bytes; at least one. */
function entriesFrom(state: RaftState, from: number): LogEntry[] {
  const { maxEntriesPerAppend, maxAppendBytes = DEFAULT_MAX_APPEND_BYTES } = state.config;
  const to = Math.min(state.log.lastIndex, from + maxEntriesPerAppend - 1);
  const entries = state.log.slice(from, to);
  let bytes = 0;
  const tooMany = entries.findIndex((entry, position) => {
    bytes += entry.data.byteLength;
    return position > 0 && bytes > maxAppendBytes;
  });
  return tooMany === -1 ? entries : entries.slice(0, tooMany);
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

/** A heartbeat for a member whose log position is unknown or behind the log: it matches any log. */
function sendBareHeartbeat(state: RaftState, replica: ReplicaId): void {
  const { term } = state;
  const { round } = leaderStateOf(state);
  const position = { previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0 };
  state.send({ type: 'append-request', to: replica, term, ...position, round });
}

/** A member that let an election timeout pass without an answer gets heartbeats only. */
function isSilent(state: RaftState, progress: Progress): boolean {
  return state.now - progress.lastHeardAt >= state.config.electionTimeoutMillis;
}

/** Sends one heartbeat to each member; unanswered probes and chunks are tried again. */
export function broadcastHeartbeat(state: RaftState, retry: boolean): void {
  const leaderState = leaderStateOf(state);
  for (const [replica, progress] of leaderState.progress) {
    if (retry) {
      retryUnanswered(state, replica, progress);
    }
    sendAppend(state, replica, progress, []);
  }
  if (retry) {
    leaderState.heartbeatDeadline = state.now + state.config.heartbeatMillis;
  }
}

function retryUnanswered(state: RaftState, replica: ReplicaId, progress: Progress): void {
  if (isSilent(state, progress)) {
    if (progress.state === 'replicate') {
      progress.becomeProbe(progress.matchIndex + 1);
    }
    return;
  }
  progress.probeSent = false;
  if (progress.transfer !== undefined) {
    const waitedMillis = state.now - progress.transfer.sentAt;
    if (waitedMillis >= state.config.heartbeatMillis) {
      sendSnapshotChunk(state, replica, progress);
    }
    return;
  }
  replicate(state, replica, progress);
}

/** Takes a member's answer to an append of the present term. */
export function handleAppendResponse(state: RaftState, response: AppendResponse): void {
  const progress = state.leaderState?.progress.get(response.from);
  if (progress === undefined) {
    return;
  }
  noteAnswer(state, progress, response.round);
  if (!response.success) {
    if (progress.refused(response.matchIndex)) {
      replicate(state, response.from, progress);
    }
    return;
  }
  noteMatch(progress, response.matchIndex);
  replicate(state, response.from, progress);
}

/** Takes a member's answer to a snapshot chunk of the present term. */
export function handleSnapshotResponse(state: RaftState, response: SnapshotResponse): void {
  const progress = state.leaderState?.progress.get(response.from);
  if (progress === undefined) {
    return;
  }
  noteAnswer(state, progress, response.round);
  if (continueSnapshotTransfer(state, progress, response)) {
    noteMatch(progress, response.lastIndex);
    replicate(state, response.from, progress);
  }
}

/** Any answer of the present term counts for the quorum check and for confirmation rounds. */
function noteAnswer(state: RaftState, progress: Progress, round: number): void {
  progress.lastHeardAt = state.now;
  progress.answeredRound = Math.max(progress.answeredRound, round);
}

function noteMatch(progress: Progress, matchIndex: number): void {
  progress.matched(matchIndex);
  const snapshotDone = progress.transfer === undefined || matchIndex >= progress.transfer.snapshot.lastIndex;
  const mayReplicate = progress.state === 'probe' || snapshotDone;
  if (progress.state !== 'replicate' && mayReplicate) {
    progress.becomeReplicate();
  }
}

/** Commits what a quorum has synced, if it is of the present term. True if the commit index grew. */
export function advanceCommit(state: RaftState): boolean {
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

/** When a quorum, this leader included, was last known to be alive. */
export function quorumHeardAt(state: RaftState): number {
  const { progress } = leaderStateOf(state);
  return quorumValue(state.membership, (replica) =>
    replica === state.self ? state.now : (progress.get(replica)?.lastHeardAt ?? Number.NEGATIVE_INFINITY),
  );
}

/** What a leader keeps. Only to be called on a leader. */
export function leaderStateOf(state: RaftState): LeaderState {
  return state.leaderState as LeaderState;
}
