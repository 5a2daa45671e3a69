/** Snapshots of this replica's own state machine. */
import type { RaftState } from './state.js';
import type { Snapshot } from './types.js';

/** Saves the state machine's bytes as of `lastIndex` and compacts the log up to that index. */
export function takeOwnSnapshot(state: RaftState, lastIndex: number, data: Uint8Array): void {
  const lastTerm = state.log.termAt(lastIndex);
  const isNewer = lastIndex > (state.snapshot?.lastIndex ?? 0);
  if (!isNewer || lastIndex > state.appliedIndex || lastTerm === undefined) {
    return;
  }
  const membership = state.memberships.at(lastIndex);
  const snapshot: Snapshot = { lastIndex, lastTerm, membership, data };
  state.snapshot = snapshot;
  state.persistQueue.saveSnapshot(snapshot);
  state.log.compactTo(lastIndex);
  state.memberships.compactTo(lastIndex);
}
