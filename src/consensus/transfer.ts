/** Leadership transfer: waits until the target is up to date, then makes it start an election at once. */
import type { ReplicaId } from '../model/identifiers.js';
import { allVoters, isVoter } from './membership.js';
import type { RaftState } from './state.js';

/** Starts a transfer; has no effect unless this replica is the leader and `to` is another voter. */
export function startTransfer(state: RaftState, to: ReplicaId): void {
  const { leaderState } = state;
  if (leaderState === undefined || to === state.self || !isVoter(state.membership, to)) {
    return;
  }
  const deadline = state.now + state.config.electionTimeoutMillis;
  leaderState.transfer = { to, deadline, timeoutNowSent: false };
}

/** Sends `timeout-now` once the target has the whole log; cancels the transfer after an election timeout. */
export function advanceTransfer(state: RaftState): void {
  const { leaderState, log, term } = state;
  const transfer = leaderState?.transfer;
  if (leaderState === undefined || transfer === undefined) {
    return;
  }
  if (state.now >= transfer.deadline || !isVoter(state.membership, transfer.to)) {
    leaderState.transfer = undefined;
    return;
  }
  const caughtUp = leaderState.progress.get(transfer.to)?.matchIndex === log.lastIndex;
  if (caughtUp && !transfer.timeoutNowSent) {
    transfer.timeoutNowSent = true;
    state.send({ type: 'timeout-now', to: transfer.to, term });
  }
}

/** Makes the voter with the longest log start an election at once, for a leader removed from the voters. */
export function sendTimeoutNowToBestVoter(state: RaftState): void {
  const { leaderState, term } = state;
  const matchIndexOf = (replica: ReplicaId): number => leaderState?.progress.get(replica)?.matchIndex ?? 0;
  const [best] = allVoters(state.membership).sort((a, b) => matchIndexOf(b) - matchIndexOf(a));
  if (best !== undefined && best !== state.self) {
    state.send({ type: 'timeout-now', to: best, term });
  }
}
