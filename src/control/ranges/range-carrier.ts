/** How the ranges of one service reach their owners and come back from them. */
import type { MonotonicMillis, UpstreamId } from '../../model/identifiers.js';
import type { KeyRange, KeySpan } from '../../model/key-range.js';
import type { UpstreamRecord } from '../../registry/types.js';
import type { FreeProof } from './free-proof.js';
import type { GrantCall, HolderCall, HolderOutcome, ReleaseCall } from './holder-call.js';
import type { RangeReleases, ReleasedPiece } from './range-releases.js';

/** A call without its number. */
export type WantedCall = Omit<GrantCall, 'id'> | Omit<ReleaseCall, 'id'>;

/** What carriers see of the service. */
export interface RangeCarrierParts {
  readonly ranges: () => readonly KeyRange[];
  readonly record: (upstream: UpstreamId) => UpstreamRecord | undefined;
  /** Whether an upstream is to be given nothing more. */
  readonly isLeaving: (record: UpstreamRecord) => boolean;
  /** Pieces on their way to the next owner. */
  readonly releases: RangeReleases;
  /** Whether a change that takes keys of a span off their owner is proposed. */
  readonly isBeingTaken: (span: KeySpan) => boolean;
}

export interface RangeCarrier {
  /** Whether an upstream can be told at once that keys are its own. */
  canTell(upstream: UpstreamId, now: MonotonicMillis): boolean;
  /** Whether it is a good moment to take keys off an owner and give them to a target. */
  canMove(owner: UpstreamId, target: UpstreamId, now: MonotonicMillis): boolean;
  /** What shows that an owner's run is over, or that it can hold nothing any more; `null`: nothing does. */
  lostBy(range: KeyRange, owner: UpstreamId, now: MonotonicMillis): FreeProof | null;
  /** Whether an owner doesn't take a range under its fence. */
  isRefused(range: KeyRange): boolean;
  /** What shows that the owner before can hold a piece no more; `null`: nothing does. */
  freeBy(piece: ReleasedPiece, range: KeyRange, now: MonotonicMillis): FreeProof | null;
  /** A free piece gets its next owner: what the one before handed over goes with it. Whether there is any. */
  passOn(piece: ReleasedPiece, range: KeyRange): boolean;
  /** Takes in the ranges as they stand now, and drops what is known of others. Costs nothing while they are the same. */
  follow(ranges: readonly KeyRange[], now: MonotonicMillis): void;
  /** Calls that are due now. */
  takeCalls(now: MonotonicMillis): WantedCall[];
  callEnded(call: HolderCall, outcome: HolderOutcome, now: MonotonicMillis): void;
  /** When calls are due that need no decision first; `Infinity`: none are. */
  nextCallAt(): MonotonicMillis;
  /** When something that the carrier waits for is over, so that owners are to be decided. */
  nextDecisionAt(): MonotonicMillis;
}
