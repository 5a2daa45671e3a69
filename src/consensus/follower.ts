/** The follower's side of log replication. */
import type { RaftState } from './state.js';
import type { AppendRequest, LogEntry } from './types.js';

/** Handles an append from the leader of the current term. */
export function handleAppendRequest(state: RaftState, request: AppendRequest): void {
  const { entries, previousIndex } = request;
  if (!matchesPrevious(state, request)) {
    rejectAppend(state, request);
    return;
  }
  const lastNewIndex = previousIndex + entries.length;
  const changed = appendMissing(state, entries);
  state.commitIndex = Math.max(state.commitIndex, Math.min(request.commitIndex, lastNewIndex));
  acknowledgeAppend(state, request, lastNewIndex, changed);
}

/** Whether the log matches at `previousIndex`. Committed entries match the log of any leader. */
function matchesPrevious(state: RaftState, request: AppendRequest): boolean {
  const { previousIndex, previousTerm } = request;
  return previousIndex <= state.commitIndex || state.log.termAt(previousIndex) === previousTerm;
}

/** Appends the missing entries after truncating a conflicting suffix. Returns whether the log changed. */
function appendMissing(state: RaftState, entries: readonly LogEntry[]): boolean {
  const position = entries.findIndex(
    (entry) => entry.index > state.commitIndex && state.log.termAt(entry.index) !== entry.term,
  );
  const first = entries[position];
  if (first === undefined) {
    return false;
  }
  if (first.index <= state.log.lastIndex) {
    state.truncateFrom(first.index);
  }
  state.appendEntries(entries.slice(position));
  return true;
}

/** Acknowledges the index up to which the log matches and is synced; waits for the disk if entries are unsynced. */
function acknowledgeAppend(
  state: RaftState,
  request: AppendRequest,
  lastNewIndex: number,
  changed: boolean,
): void {
  const awaitPersist = changed || (request.entries.length > 0 && lastNewIndex > state.stableIndex);
  const matchIndex = awaitPersist ? lastNewIndex : Math.min(lastNewIndex, state.stableIndex);
  respond(state, request, true, matchIndex, awaitPersist);
}

/**
 * Rejects an append with a hint at which index the logs may match: the last entry if the log is too short, else the
 * entry before the consecutive ones of the conflicting term.
 */
function rejectAppend(state: RaftState, request: AppendRequest): void {
  const { log, commitIndex } = state;
  const { previousIndex } = request;
  const hint =
    previousIndex > log.lastIndex ? log.lastIndex : log.firstIndexOfTermRun(previousIndex, commitIndex) - 1;
  respond(state, request, false, hint, false);
}

function respond(
  state: RaftState,
  request: AppendRequest,
  success: boolean,
  matchIndex: number,
  awaitPersist: boolean,
): void {
  const { term } = state;
  const { from: to, round } = request;
  const response = { type: 'append-response', to, term, success, matchIndex, round } as const;
  if (awaitPersist) {
    state.sendAfterPersist(response);
  } else {
    state.sendAfterHardStatePersisted(response);
  }
}
