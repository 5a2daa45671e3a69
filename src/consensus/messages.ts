/** Handles messages: compares terms first, then dispatches each message to its module. */
import {
  handleTimeoutNow,
  handleVoteRequest,
  handleVoteResponse,
  shouldIgnoreVoteRequest,
} from './election.js';
import { handleAppendRequest } from './follower.js';
import { handleReadIndexRequest, handleReadIndexResponse } from './read-index.js';
import { handleAppendResponse, handleSnapshotResponse } from './replication.js';
import { becomeFollower } from './roles.js';
import { handleSnapshotRequest } from './snapshot-receiver.js';
import type { RaftState } from './state.js';
import type { AppendRequest, RaftMessage, SnapshotRequest, VoteRequest } from './types.js';

type LeaderMessage = AppendRequest | SnapshotRequest;

/** Handles one message. A message of an earlier term is answered with the current term or dropped. */
export function handleMessage(state: RaftState, message: RaftMessage): void {
  if (message.to !== state.self || message.from === state.self) {
    return;
  }
  if (message.type === 'vote-request') {
    routeVoteRequest(state, message);
    return;
  }
  if (message.type === 'vote-response' && message.preVote && message.granted) {
    handleVoteResponse(state, message);
    return;
  }
  if (message.term < state.term) {
    handleOutdated(state, message);
    return;
  }
  if (message.term > state.term) {
    becomeFollower(state, message.term, isFromLeader(message) ? message.from : null);
  }
  dispatch(state, message);
}

function routeVoteRequest(state: RaftState, request: VoteRequest): void {
  if (shouldIgnoreVoteRequest(state, request)) {
    return;
  }
  if (request.preVote) {
    handleVoteRequest(state, request);
    return;
  }
  if (request.term > state.term) {
    becomeFollower(state, request.term, null);
  }
  if (request.term === state.term) {
    handleVoteRequest(state, request);
    return;
  }
  const { term } = state;
  state.send({ type: 'vote-response', to: request.from, term, preVote: false, granted: false });
}

function isFromLeader(message: RaftMessage): message is LeaderMessage {
  return message.type === 'append-request' || message.type === 'snapshot-request';
}

/** Sends a deposed leader the new term. Reads are valid in any term of the sender; other messages are dropped. */
function handleOutdated(state: RaftState, message: RaftMessage): void {
  if (message.type === 'read-index-request') {
    handleReadIndexRequest(state, message);
    return;
  }
  if (!isFromLeader(message)) {
    return;
  }
  const { term } = state;
  const { from: to, round } = message;
  state.sendAfterHardStatePersisted({
    type: 'append-response',
    to,
    term,
    success: false,
    matchIndex: 0,
    round,
  });
}

function dispatch(state: RaftState, message: RaftMessage): void {
  switch (message.type) {
    case 'append-request':
      if (followSender(state, message)) {
        handleAppendRequest(state, message);
      }
      return;
    case 'snapshot-request':
      if (followSender(state, message)) {
        handleSnapshotRequest(state, message);
      }
      return;
    case 'append-response':
      handleAppendResponse(state, message);
      return;
    case 'snapshot-response':
      handleSnapshotResponse(state, message);
      return;
    case 'vote-response':
      handleVoteResponse(state, message);
      return;
    case 'timeout-now':
      handleTimeoutNow(state, message);
      return;
    case 'read-index-request':
      handleReadIndexRequest(state, message);
      return;
    case 'read-index-response':
      handleReadIndexResponse(state, message);
      return;
    case 'vote-request':
      return;
  }
}

/** Follows the sender, the only leader of this term. Returns false if this replica is the leader itself. */
function followSender(state: RaftState, message: LeaderMessage): boolean {
  if (state.role === 'leader') {
    return false;
  }
  becomeFollower(state, state.term, message.from);
  state.leaderHeardAt = state.now;
  state.failedElections = 0;
  state.resetElectionDeadline();
  return true;
}
