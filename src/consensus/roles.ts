/** Transitions between roles. */
import type { ReplicaId, Term } from '../model/identifiers.js';
import { LeaderState } from './leader-state.js';
import { failReads } from './read-index.js';
import { appendOwnEntry } from './replication.js';
import type { RaftState } from './state.js';

const NO_DATA = new Uint8Array(0);

/** Follows `leader` (`null` if unknown) in `term`, which is the current or a later one. */
export function becomeFollower(state: RaftState, term: Term, leader: ReplicaId | null): void {
  const newTerm = term > state.term;
  if (newTerm) {
    state.setHardState(term, null);
  }
  if (newTerm || state.role === 'leader' || state.leader !== leader) {
    failReads(state, leader);
  }
  if (newTerm) {
    state.incomingSnapshot = undefined;
  }
  if (newTerm || state.role !== 'follower') {
    state.resetElectionDeadline();
  }
  state.role = 'follower';
  state.leader = leader;
  state.campaign = undefined;
  state.leaderState = undefined;
}

/** Starts a pre-vote, which checks whether an election could be won without starting a new term. */
export function becomePreCandidate(state: RaftState): void {
  failReads(state, null);
  state.role = 'pre-candidate';
  state.leader = null;
  state.campaign = { granted: new Set([state.self]) };
  state.resetElectionDeadline();
}

/** Becomes a candidate in a new term. The replica's own vote counts once it is on disk. */
export function becomeCandidate(state: RaftState): void {
  failReads(state, null);
  state.setHardState(state.term + 1, state.self);
  state.role = 'candidate';
  state.leader = null;
  state.incomingSnapshot = undefined;
  state.campaign = { granted: new Set() };
  state.resetCandidateDeadline();
}

/** Becomes the leader of the current term; its first entry is a noop, which commits the entries of earlier terms. */
export function becomeLeader(state: RaftState): void {
  state.role = 'leader';
  state.quorumLostAt = null;
  state.failedElections = 0;
  state.leader = state.self;
  state.campaign = undefined;
  state.incomingSnapshot = undefined;
  const leaderState = new LeaderState(state.now);
  state.leaderState = leaderState;
  leaderState.syncMembers(state.membership, state.self, state.log.lastIndex, state.now);
  appendOwnEntry(state, 'noop', NO_DATA);
}
