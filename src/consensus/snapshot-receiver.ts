/** The follower's side of snapshot transfer: gathers chunks, then installs the whole. */
import type { ReplicaId, Term } from '../model/identifiers.js';
import type { RaftState } from './state.js';
import type { Membership, Snapshot, SnapshotRequest } from './types.js';

/** A snapshot of which not every chunk has arrived. */
export interface IncomingSnapshot {
  readonly from: ReplicaId;
  readonly lastIndex: number;
  readonly lastTerm: Term;
  readonly membership: Membership;
  readonly totalBytes: number;
  readonly chunks: Uint8Array[];
  heldBytes: number;
}

/** Takes one chunk from the leader of the present term. */
export function handleSnapshotRequest(state: RaftState, request: SnapshotRequest): void {
  if (holdsEntry(state, request.lastIndex, request.lastTerm)) {
    state.commitIndex = Math.max(state.commitIndex, request.lastIndex);
    state.incomingSnapshot = undefined;
    answerInstalled(state, request);
    return;
  }
  const incoming = incomingFor(state, request);
  if (request.offset === incoming.heldBytes) {
    incoming.chunks.push(request.chunk);
    incoming.heldBytes += request.chunk.byteLength;
  }
  if (incoming.heldBytes < incoming.totalBytes) {
    answerProgress(state, request, incoming.heldBytes);
    return;
  }
  install(state, joinChunks(incoming));
  answerInstalled(state, request);
}

/** Whether the log already reaches to the snapshot's last entry, so that nothing needs to be installed. */
function holdsEntry(state: RaftState, index: number, term: Term): boolean {
  return index <= state.commitIndex || state.log.termAt(index) === term;
}

function incomingFor(state: RaftState, request: SnapshotRequest): IncomingSnapshot {
  const { from, lastIndex, lastTerm, membership, totalBytes } = request;
  const present = state.incomingSnapshot;
  const same = present?.from === from && present.lastIndex === lastIndex && present.lastTerm === lastTerm;
  if (present !== undefined && same) {
    return present;
  }
  const incoming = { from, lastIndex, lastTerm, membership, totalBytes, chunks: [], heldBytes: 0 };
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

/** Replaces the log by the snapshot; the state machine takes it once it is on disk. */
function install(state: RaftState, snapshot: Snapshot): void {
  state.incomingSnapshot = undefined;
  state.persistQueue.installSnapshot(snapshot, state.log.lastIndex);
  state.stableIndex = Math.min(state.stableIndex, state.commitIndex);
  state.log.reset(snapshot.lastIndex, snapshot.lastTerm);
  state.memberships.reset(snapshot.lastIndex, snapshot.membership);
  state.snapshot = snapshot;
  state.commitIndex = snapshot.lastIndex;
  state.restoring = snapshot;
}

function answerInstalled(state: RaftState, request: SnapshotRequest): void {
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

function answerProgress(state: RaftState, request: SnapshotRequest, nextOffset: number): void {
  const { term } = state;
  const { from: to, lastIndex, round } = request;
  state.sendOncePromised({
    type: 'snapshot-response',
    to,
    term,
    lastIndex,
    nextOffset,
    installed: false,
    round,
  });
}
