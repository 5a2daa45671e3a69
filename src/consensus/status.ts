/** A replica's state as operators see it. */
import type { RaftState } from './state.js';
import type { RaftStatus } from './types.js';

/** Copies what operators may see. */
export function raftStatus(state: RaftState): RaftStatus {
  const { self, term, leader, commitIndex, log, membership, leaderState } = state;
  const matches = [...(leaderState?.progress ?? [])].map(
    ([replica, progress]) => [replica, progress.matchIndex] as const,
  );
  return {
    self,
    role: state.visibleRole,
    term,
    leader,
    commitIndex,
    lastIndex: log.lastIndex,
    firstIndex: log.firstIndex,
    membership,
    matchIndexes: Object.fromEntries(matches),
  };
}
