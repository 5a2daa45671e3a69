/** The follower's side of snapshot transfer: collects the chunks, then installs the snapshot. */
import type { ReplicaId, Term } from '../model/identifiers.js';
import type { RaftState } from './state.js';
import type { Membership, Snapshot, SnapshotRequest } from './types.js';

/** A partially received snapshot. */
export interface IncomingSnapshot {
  readonly from: ReplicaId;
  readonly lastIndex: number;
  readonly lastTerm: Term;
  readonly membership: Membership;
  readonly totalBytes: number;
  readonly chunks: Uint8Array[];
  receivedBytes: number;
}

/** Handles one chunk from the leader of the current term. */
export function handleSnapshotRequest(state: RaftState, request: SnapshotRequest): void {
  if (hasEntry(state, request.lastIndex, request.lastTerm)) {
    state.commitIndex = Math.max(state.commitIndex, request.lastIndex);
    state.incomingSnapshot = undefined;
    respondInstalled(state, request);
    return;
  }
  const incoming = incomingFor(state, request);
  if (request.offset === incoming.receivedBytes) {
    incoming.chunks.push(request.chunk);
    incoming.receivedBytes += request.chunk.byteLength;
  }
  if (incoming.receivedBytes < incoming.totalBytes) {
    respondProgress(state, request, incoming.receivedBytes);
    return;
  }
  install(state, joinChunks(incoming));
  respondInstalled(state, request);
}

/** Whether the log already contains the snapshot's last entry, so that the snapshot isn't needed. */
function hasEntry(state: RaftState, index: number, term: Term): boolean {
  return index <= state.commitIndex || state.log.termAt(index) === term;
}

function incomingFor(state: RaftState, request: SnapshotRequest): IncomingSnapshot {
  const { from, lastIndex, lastTerm, membership, totalBytes } = request;
  const current = state.incomingSnapshot;
  const isSame = current?.from === from && current.lastIndex === lastIndex && current.lastTerm === lastTerm;
  if (current !== undefined && isSame) {
    return current;
  }
  const incoming = { from, lastIndex, lastTerm, membership, totalBytes, chunks: [], receivedBytes: 0 };
  state.incomingSnapshot = incoming;
  return incoming;
}

function joinChunks(incoming: IncomingSnapshot): Snapshot {
  const data = new Uint8Array(incoming.totalBytes);
  let offset = 0;
  for (const chunk of incoming.chunks) {
    data.set(chunk, offset);
    offset += chunk.byteLength;
  }
  const { lastIndex, lastTerm, membership } = incoming;
  return { lastIndex, lastTerm, membership, data };
}

/** Replaces the log by the snapshot; the state machine is restored from it once it is on disk. */
function install(state: RaftState, snapshot: Snapshot): void {
  state.incomingSnapshot = undefined;
  state.persistQueue.installSnapshot(snapshot, state.log.lastIndex);
  state.stableIndex = Math.min(state.stableIndex, state.commitIndex);
  state.log.reset(snapshot.lastIndex, snapshot.lastTerm);
  state.memberships.reset(snapshot.lastIndex, snapshot.membership);
  state.snapshot = snapshot;
  state.commitIndex = snapshot.lastIndex;
  state.pendingRestore = snapshot;
}

function respondInstalled(state: RaftState, request: SnapshotRequest): void {
  const { term } = state;
  const { from: to, lastIndex, totalBytes: nextOffset, round } = request;
  state.sendAfterPersist({
    type: 'snapshot-response',
    to,
    term,
    lastIndex,
    nextOffset,
    installed: true,
    round,
  });
}

function respondProgress(state: RaftState, request: SnapshotRequest, nextOffset: number): void {
  const { term } = state;
  const { from: to, lastIndex, round } = request;
  state.sendAfterHardStatePersisted({
    type: 'snapshot-response',
    to,
    term,
    lastIndex,
    nextOffset,
    installed: false,
    round,
  });
}
