/** Status of a replica for operators, and the details behind it for logs. */
import type { ReplicaId } from '../model/identifiers.js';
import type { Progress } from './progress.js';
import { isCaughtUp } from './replication.js';
import type { RaftState } from './state.js';
import type { MemberProgress, RaftDetails, RaftStatus } from './types.js';

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

/** Creates the details from the state of a replica. */
export function raftDetails(state: RaftState): RaftDetails {
  const { campaign, persistQueue, leaderState } = state;
  const progress = [...(leaderState?.progress ?? [])];
  return {
    votes: campaign === undefined ? null : [...campaign.granted],
    writeSince: persistQueue.outstandingSince,
    members: progress.map(([replica, member]) => progressOf(replica, member)),
    caughtUp: progress.filter(([, member]) => isCaughtUp(state, member)).map(([replica]) => replica),
  };
}

function progressOf(replica: ReplicaId, { state, matchIndex, transfer }: Progress): MemberProgress {
  return { replica, state, matchIndex, snapshotBytes: transfer?.offset ?? null };
}
