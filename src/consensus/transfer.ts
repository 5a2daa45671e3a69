/** Leadership transfer: waits until the target is up to date, then makes it start an election at once. */
import type { ReplicaId } from '../model/identifiers.js';
import type { LeadershipTransfer, TransferReason } from './leader-state.js';
import { allVoters, isVoter } from './membership.js';
import type { RaftState } from './state.js';

/** Starts a transfer; has no effect unless this replica is the leader and `to` is another voter. */
export function startTransfer(state: RaftState, to: ReplicaId, reason: TransferReason = 'requested'): void {
  const { leaderState } = state;
  if (leaderState === undefined || to === state.self || !isVoter(state.membership, to)) {
    return;
  }
  const deadline = state.now + state.config.electionTimeoutMillis;
  leaderState.transfer = { to, deadline, reason, timeoutNowSent: false };
}

/** Sends `timeout-now` once the target has the whole log; cancels the transfer after an election timeout, or if it is void. */
export function advanceTransfer(state: RaftState): void {
  const { leaderState, log, term } = state;
  const transfer = leaderState?.transfer;
  if (leaderState === undefined || transfer === undefined) {
    return;
  }
  const isVoid = !isVoter(state.membership, transfer.to) || isNeedless(state, transfer);
  if (state.now >= transfer.deadline || isVoid) {
    leaderState.transfer = undefined;
    return;
  }
  const caughtUp = leaderState.progress.get(transfer.to)?.matchIndex === log.lastIndex;
  if (caughtUp && !transfer.timeoutNowSent) {
    transfer.timeoutNowSent = true;
    state.send({ type: 'timeout-now', to: transfer.to, term });
    reportHandover(state, transfer);
  }
}

/** Whether the disk answered before the target was asked. */
function isNeedless(state: RaftState, { reason, timeoutNowSent }: LeadershipTransfer): boolean {
  return reason === 'disk-hangs' && !timeoutNowSent && !state.isWriteOverdue;
}

function reportHandover(state: RaftState, { to, reason }: LeadershipTransfer): void {
  const writeSince = state.persistQueue.outstandingSince;
  if (reason === 'disk-hangs' && writeSince !== null) {
    state.emit({ type: 'handed-over', to, writeSince, stableIndex: state.stableIndex });
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
