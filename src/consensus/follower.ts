/** The follower's side of log replication. */
import type { RaftState } from './state.js';
import type { AppendRequest, LogEntry } from './types.js';

/** Takes an append from the leader of the present term. */
export function handleAppendRequest(state: RaftState, request: AppendRequest): void {
  const { entries, previousIndex } = request;
  if (!matchesPrevious(state, request)) {
    refuse(state, request);
    return;
  }
  const lastNewIndex = previousIndex + entries.length;
  const changed = appendMissing(state, entries);
  state.commitIndex = Math.max(state.commitIndex, Math.min(request.commitIndex, lastNewIndex));
  accept(state, request, lastNewIndex, changed);
}

/** Committed entries match any leader's. */
function matchesPrevious(state: RaftState, request: AppendRequest): boolean {
  const { previousIndex, previousTerm } = request;
  return previousIndex <= state.commitIndex || state.log.termAt(previousIndex) === previousTerm;
}

/** Appends the entries that aren't there; drops a tail that contradicts them. True if the log changed. */
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

/** Says up to where the log matches and is synced; waits for the disk if the append brought entries. */
function accept(state: RaftState, request: AppendRequest, lastNewIndex: number, changed: boolean): void {
  const waits = changed || (request.entries.length > 0 && lastNewIndex > state.stableIndex);
  const matchIndex = waits ? lastNewIndex : Math.min(lastNewIndex, state.stableIndex);
  answer(state, request, true, matchIndex, waits);
}

/**
 * Hints at where the logs may match: the last entry if the log is too short, else the one before the run of
 * entries of the contradicting term.
 */
function refuse(state: RaftState, request: AppendRequest): void {
  const { log, commitIndex } = state;
  const { previousIndex } = request;
  const hint =
    previousIndex > log.lastIndex ? log.lastIndex : log.firstIndexOfTermRun(previousIndex, commitIndex) - 1;
  answer(state, request, false, hint, false);
}

function answer(
  state: RaftState,
  request: AppendRequest,
  success: boolean,
  matchIndex: number,
  waits: boolean,
): void {
  const { term } = state;
  const { from: to, round } = request;
  const response = { type: 'append-response', to, term, success, matchIndex, round } as const;
  if (waits) {
    state.sendAfterPersist(response);
  } else {
    state.sendOncePromised(response);
  }
}
