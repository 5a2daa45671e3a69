/** The leader's side of snapshot transfer: sends one chunk at a time, each after the response to the previous one. */
import type { ReplicaId } from '../model/identifiers.js';
import type { Progress } from './progress.js';
import type { RaftState } from './state.js';
import type { SnapshotResponse } from './types.js';

/** Starts sending the latest snapshot to a member that needs compacted entries. */
export function beginSnapshotTransfer(state: RaftState, replica: ReplicaId, progress: Progress): void {
  if (state.snapshot === null) {
    return;
  }
  progress.becomeSnapshot(state.snapshot);
  sendSnapshotChunk(state, replica, progress);
}

/** Sends the chunk at the transfer's current offset. */
export function sendSnapshotChunk(state: RaftState, replica: ReplicaId, progress: Progress): void {
  const { transfer } = progress;
  if (transfer === undefined || state.leaderState === undefined) {
    return;
  }
  const { snapshot, offset } = transfer;
  const { lastIndex, lastTerm, membership, data } = snapshot;
  transfer.sentAt = state.now;
  state.send({
    type: 'snapshot-request',
    to: replica,
    term: state.term,
    lastIndex,
    lastTerm,
    membership,
    offset,
    totalBytes: data.byteLength,
    chunk: data.subarray(offset, offset + state.config.snapshotChunkBytes),
    round: state.leaderState.round,
  });
}

/** Continues at the offset that the member returned. Returns true if the member has synced the whole snapshot. */
export function continueSnapshotTransfer(
  state: RaftState,
  progress: Progress,
  response: SnapshotResponse,
): boolean {
  const { transfer } = progress;
  if (transfer === undefined || response.lastIndex !== transfer.snapshot.lastIndex) {
    return false;
  }
  if (response.installed) {
    return true;
  }
  const total = transfer.snapshot.data.byteLength;
  const hasOffsetChanged = response.nextOffset !== transfer.offset;
  if (hasOffsetChanged && response.nextOffset < total) {
    transfer.offset = response.nextOffset;
    sendSnapshotChunk(state, response.from, progress);
  }
  return false;
}
