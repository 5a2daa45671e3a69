/** Elections: pre-vote and vote requests and the responses to both. */
import { allVoters, hasQuorum } from './membership.js';
import { becomeCandidate, becomeFollower, becomeLeader, becomePreCandidate } from './roles.js';
import type { RaftState } from './state.js';
import type { TimeoutNow, VoteRequest, VoteResponse } from './types.js';

/**
 * Handles an expired election timeout. A candidate whose own vote isn't on disk yet goes on waiting for it. Any other replica that
 * isn't a voter, or whose own vote couldn't become durable soon, only clears its known leader.
 */
export function handleElectionTimeout(state: RaftState): void {
  const { isHardStatePending } = state.persistQueue;
  if (state.role === 'candidate' && isHardStatePending) {
    state.resetElectionDeadline();
    return;
  }
  if (state.role === 'candidate') {
    state.failedElections += 1;
  }
  if (!state.isSelfVoter || state.isWriteOverdue || isHardStatePending) {
    becomeFollower(state, state.term, null);
    state.resetElectionDeadline();
    return;
  }
  startPreVote(state);
}

function startPreVote(state: RaftState): void {
  becomePreCandidate(state);
  if (hasQuorum(state.membership, (replica) => replica === state.self)) {
    startElection(state, false);
    return;
  }
  requestVotes(state, true, false);
}

/**
 * Starts an election without a pre-vote; with `transfer`, followers vote even if the old leader was active recently. The time to
 * wait for votes begins when they are asked for: once the replica's own vote is on disk.
 */
function startElection(state: RaftState, transfer: boolean): void {
  becomeCandidate(state);
  const { term } = state;
  const waitMillis = state.electionDeadline - state.now;
  state.persistQueue.afterPersist(() => {
    if (state.term === term && state.role === 'candidate') {
      state.electionDeadline = state.now + waitMillis;
      requestVotes(state, false, transfer);
      countVote(state, state.self);
    }
  });
}

function requestVotes(state: RaftState, preVote: boolean, transfer: boolean): void {
  const term = preVote ? state.term + 1 : state.term;
  const { lastIndex: lastLogIndex, lastTerm: lastLogTerm } = state.log;
  for (const to of allVoters(state.membership)) {
    if (to !== state.self) {
      state.send({ type: 'vote-request', to, term, preVote, lastLogIndex, lastLogTerm, transfer });
    }
  }
}

/** Whether a vote request is dropped because the current leader is alive. */
export function shouldIgnoreVoteRequest(state: RaftState, request: VoteRequest): boolean {
  if (request.transfer) {
    return false;
  }
  return state.role === 'leader' || state.hasRecentLeader;
}

/** Responds to a vote request of the current term, or to a pre-vote of any term. */
export function handleVoteRequest(state: RaftState, request: VoteRequest): void {
  if (request.preVote) {
    respondToPreVote(state, request);
    return;
  }
  const canVote = state.votedFor === null || state.votedFor === request.from;
  const granted = canVote && state.leader === null && isUpToDate(state, request);
  if (granted && state.votedFor === null) {
    state.setHardState(state.term, request.from);
  }
  if (granted) {
    state.resetElectionDeadline();
  }
  const { term } = state;
  state.sendAfterPersist({ type: 'vote-response', to: request.from, term, preVote: false, granted });
}

/**
 * A granted pre-vote carries the requested term, a rejected one this replica's own term. While a term or vote is being written, a
 * vote in a further term would have to wait for one more write: that of the term under way comes sooner.
 */
function respondToPreVote(state: RaftState, request: VoteRequest): void {
  const canVoteSoon = !state.persistQueue.isHardStatePending;
  const granted = canVoteSoon && request.term > state.term && isUpToDate(state, request);
  const term = granted ? request.term : state.term;
  state.send({ type: 'vote-response', to: request.from, term, preVote: true, granted });
}

function isUpToDate(state: RaftState, request: VoteRequest): boolean {
  const { lastIndex, lastTerm } = state.log;
  if (request.lastLogTerm !== lastTerm) {
    return request.lastLogTerm > lastTerm;
  }
  return request.lastLogIndex >= lastIndex;
}

/** Counts a vote if it belongs to the current campaign. */
export function handleVoteResponse(state: RaftState, response: VoteResponse): void {
  const isExpected = response.preVote ? state.role === 'pre-candidate' : state.role === 'candidate';
  const requestedTerm = response.preVote ? state.term + 1 : state.term;
  if (isExpected && response.granted && response.term === requestedTerm) {
    countVote(state, response.from);
  }
}

function countVote(state: RaftState, replica: string): void {
  const { campaign } = state;
  if (campaign === undefined) {
    return;
  }
  campaign.granted.add(replica);
  if (!hasQuorum(state.membership, (voter) => campaign.granted.has(voter))) {
    return;
  }
  if (state.role === 'pre-candidate') {
    startElection(state, false);
  } else {
    becomeLeader(state);
  }
}

/** Starts an election without a pre-vote, at the request of the current leader. */
export function handleTimeoutNow(state: RaftState, message: TimeoutNow): void {
  const canLead = state.isSelfVoter && !state.isWriteOverdue;
  if (state.role === 'follower' && canLead && state.leader === message.from) {
    startElection(state, true);
  }
}
