/** A carrier grants the ranges of one service to their owners and gets them back. */
import type { MonotonicMillis, UpstreamId } from '../../model/identifiers.js';
import type { KeyRange, KeySpan } from '../../model/key-range.js';
import type { UpstreamRecord } from '../../registry/types.js';
import type { FreeProof } from './free-proof.js';
import type { GrantCall, HolderCall, HolderOutcome, ReleaseCall } from './holder-call.js';
import type { RangeReleases, ReleasedPiece } from './range-releases.js';

/** A call that has no number yet. */
export type PlannedCall = Omit<GrantCall, 'id'> | Omit<ReleaseCall, 'id'>;

/** The state of the service that carriers use. */
export interface RangeCarrierParts {
  readonly ranges: () => readonly KeyRange[];
  readonly record: (upstream: UpstreamId) => UpstreamRecord | undefined;
  /** Returns whether an upstream must not be assigned anything more. */
  readonly isLeaving: (record: UpstreamRecord) => boolean;
  /** Pieces that are being transferred to the next owner. */
  readonly releases: RangeReleases;
  /** Returns whether a proposed change revokes keys of a span from their owner. */
  readonly isBeingRevoked: (span: KeySpan) => boolean;
}

export interface RangeCarrier {
  /** Returns whether an upstream can be notified at once that it owns keys. */
  canNotify(upstream: UpstreamId, now: MonotonicMillis): boolean;
  /** Returns whether keys should be moved from an owner to a target now. */
  canMove(owner: UpstreamId, target: UpstreamId, now: MonotonicMillis): boolean;
  /** Returns the proof that an owner's run has ended or that it can no longer hold anything; `null` if there is none. */
  lossProof(range: KeyRange, owner: UpstreamId, now: MonotonicMillis): FreeProof | null;
  /** Returns whether an owner does not accept a range under its fence. */
  isRejected(range: KeyRange): boolean;
  /** Returns whether a range isn't granted any more: its owner's last hold has run out, and later grants had no answer. */
  isAbandoned(range: KeyRange): boolean;
  /** Returns the proof that the previous owner can no longer hold a piece; `null` if there is none. */
  freeProof(piece: ReleasedPiece, range: KeyRange, now: MonotonicMillis): FreeProof | null;
  /** Passes the previous owner's handover of a free piece to the next owner. Returns whether there is a handover. */
  transferHandover(piece: ReleasedPiece, range: KeyRange): boolean;
  /** Updates the carrier to the current ranges and drops the state of others. Does nothing if they are unchanged. */
  syncRanges(ranges: readonly KeyRange[], now: MonotonicMillis): void;
  /** Removes and returns the calls that are due. */
  dequeueCalls(now: MonotonicMillis): PlannedCall[];
  /** Removes and returns the upstreams that have to be asked whether they are there before they are granted anything. */
  dequeueQuestions(): UpstreamId[];
  /** Handles a sign of life of an upstream that holds ranges of this service. */
  onHeard(upstream: UpstreamId, now: MonotonicMillis): void;
  onCallEnd(call: HolderCall, outcome: HolderOutcome, now: MonotonicMillis): void;
  /** Time at which calls are due that need no decision first; `Infinity` if there are none. */
  nextCallAt(): MonotonicMillis;
  /** Time at which a wait of the carrier ends, so that owners must be decided. */
  nextDecisionAt(): MonotonicMillis;
}
