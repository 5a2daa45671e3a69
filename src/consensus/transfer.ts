/** Leadership transfer: bring the target up to date, then tell it to stand for election at once. */
import type { ReplicaId } from '../model/identifiers.js';
import { allVoters, isVoter } from './membership.js';
import type { RaftState } from './state.js';

/** Starts a transfer; nothing happens unless this replica leads and `to` is another voter. */
export function startTransfer(state: RaftState, to: ReplicaId): void {
  const { leaderState } = state;
  if (leaderState === undefined || to === state.self || !isVoter(state.membership, to)) {
    return;
  }
  const deadline = state.now + state.config.electionTimeoutMillis;
  leaderState.transfer = { to, deadline, timeoutNowSent: false };
}

/** Tells the target to stand for election once it holds the whole log; gives up after an election timeout. */
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

/** Lets the voter with the longest log stand for election at once: this leader was voted out. */
export function sendTimeoutNowToBestVoter(state: RaftState): void {
  const { leaderState, term } = state;
  const matchOf = (replica: ReplicaId): number => leaderState?.progress.get(replica)?.matchIndex ?? 0;
  const [best] = allVoters(state.membership).sort((a, b) => matchOf(b) - matchOf(a));
  if (best !== undefined && best !== state.self) {
    state.send({ type: 'timeout-now', to: best, term });
  }
}
