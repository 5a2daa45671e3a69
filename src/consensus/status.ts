/** Status of a replica for operators. */
import type { RaftState } from './state.js';
import type { RaftStatus } from './types.js';

/** Creates a status from the state of a replica. */
export function raftStatus(state: RaftState): RaftStatus {
  const { self, term, leader, commitIndex, log, membership, leaderState } = state;
  const matches = [...(leaderState?.progress ?? [])].map(
    ([replica, progress]) => [replica, progress.matchIndex] as const,
  );
  return {
    self,
    role: state.reportedRole,
    term,
    leader,
    commitIndex,
    lastIndex: log.lastIndex,
    firstIndex: log.firstIndex,
    membership,
    matchIndexes: Object.fromEntries(matches),
  };
}
