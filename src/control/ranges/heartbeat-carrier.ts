/**
 * Grants ranges in the responses to their owners' heartbeats. Keys are revoked from or assigned to an upstream only
 * while one of its heartbeats is waiting for a response. So the registry never names a new owner long before that
 * owner learns of it.
 */
import type { RangeTimings } from '../../lease/range-timings.js';
import type { GrantedKeys, GrantedSpan } from '../../model/held-keys.js';
import type { MonotonicMillis, UpstreamId } from '../../model/identifiers.js';
import type { KeyRange } from '../../model/key-range.js';
import type { PlannedSpan } from '../../placement/ranges/range-planner.js';
import { FREE_PROOFS, type FreeProof } from './free-proof.js';
import { HeartbeatGrants } from './heartbeat-grants.js';
import type { HeartbeatHolders, ReportingHeartbeat } from './heartbeat-holders.js';
import { type AnswerHeartbeat, OpenHeartbeats } from './open-heartbeats.js';
import type { RangeCarrier, RangeCarrierParts } from './range-carrier.js';
import { RangeIndex } from './range-index.js';
import type { ReleasedPiece } from './range-releases.js';

/** Time an owner needs to release keys and report it; subtracted from how long the next owner's heartbeat may wait. */
const RELEASE_MILLIS = 250;
/** Maximum size of the grants in a response; the reader accepts 4 KiB. */
const MAX_GRANT_BYTES = 3800;
/** Maximum size of one grant without its handover. */
const BYTES_PER_GRANT = 36;

/** A planned move and the owner that releases the keys. */
export interface PendingMove extends PlannedSpan {
  readonly owner: UpstreamId;
}

export interface HeartbeatCarrierParts extends RangeCarrierParts {
  readonly holders: HeartbeatHolders;
  readonly timings: RangeTimings;
  /** Moves that wait until both upstreams can be reached. */
  readonly wanted: () => readonly PendingMove[];
}

export class HeartbeatCarrier implements RangeCarrier {
  readonly #parts: HeartbeatCarrierParts;
  readonly #open: OpenHeartbeats;
  readonly #grants = new HeartbeatGrants();
  readonly #index: RangeIndex;
  /** The ranges of the last `syncRanges`. */
  #syncedRanges: readonly KeyRange[] | null = null;
  /** For each unowned piece, the last heartbeat whose response may have named it. */
  readonly #lastNamedIn = new WeakMap<ReleasedPiece, number>();

  constructor(parts: HeartbeatCarrierParts) {
    this.#parts = parts;
    this.#open = new OpenHeartbeats(parts.timings.heartbeatMillis);
    this.#index = new RangeIndex(parts.ranges);
  }

  /** Handles a heartbeat. One without current information is answered at once and renews nothing. */
  onHeartbeat(heartbeat: ReportingHeartbeat, answer: AnswerHeartbeat, now: MonotonicMillis): void {
    const { upstream, report } = heartbeat;
    if (!this.#parts.holders.onHeartbeat(heartbeat, now)) {
      answer(null, now);
      return;
    }
    this.#grants.recordReport(this.#index.ownedBy(upstream), report);
    this.#open.open(upstream, answer, now);
  }

  /**
   * Answers the heartbeats that need not wait. While `isDeciding`, a change of owners is in progress and all
   * heartbeats wait for it.
   */
  answerDue(isDeciding: boolean, now: MonotonicMillis): GrantedResponse[] {
    const due = this.#open.upstreams().filter((upstream) => !this.#mustWait(upstream, isDeciding, now));
    return due.map((upstream) => {
      const keys = this.#keysOf(upstream);
      if (keys !== null) {
        this.#parts.holders.onGranted(upstream, now);
      }
      this.#open.close(upstream, keys, now);
      const sequence = this.#parts.holders.sequence(upstream);
      return { upstream, sequence, keys };
    });
  }

  /** Answers all open heartbeats at the end of this leadership without renewing anything. */
  end(now: MonotonicMillis): void {
    for (const upstream of this.#open.upstreams()) {
      this.#open.close(upstream, null, now);
    }
  }

  canNotify(upstream: UpstreamId): boolean {
    return this.#open.has(upstream);
  }

  /**
   * Returns whether the owner's heartbeat is open and the target's is too, unless that one is expected too late to
   * wait for. While heartbeats prove nothing, moved keys would have no owner until they do.
   */
  canMove(owner: UpstreamId, target: UpstreamId, now: MonotonicMillis): boolean {
    if (!this.#parts.holders.canProve(now)) {
      return false;
    }
    const isTargetSoon = this.#open.isExpected(target, this.#open.remainingWait(owner, now), now);
    return this.#open.has(owner) && (this.#open.has(target) || !isTargetSoon);
  }

  lossProof(_range: KeyRange, owner: UpstreamId, now: MonotonicMillis): FreeProof | null {
    return this.#parts.holders.lossProof(owner, now);
  }

  /** Returns `false`: responses go on naming what an upstream owns. */
  isAbandoned(): boolean {
    return false;
  }

  isRejected(range: KeyRange): boolean {
    return this.#grants.isRejected(range);
  }

  freeProof(piece: ReleasedPiece, { former }: KeyRange, now: MonotonicMillis): FreeProof | null {
    if (former === null) {
      return FREE_PROOFS.neverHeld;
    }
    if (piece.isReleased) {
      return FREE_PROOFS.released;
    }
    const { holders } = this.#parts;
    const afterSequence = this.#lastNamedIn.get(piece) ?? holders.grantedSequence(former);
    this.#lastNamedIn.set(piece, afterSequence);
    const proof = holders.freeProof(former, piece, { since: piece.since, afterSequence }, now);
    piece.isReleased = proof !== null;
    return proof;
  }

  transferHandover(piece: ReleasedPiece, { former }: KeyRange): boolean {
    const handover = former === null ? null : this.#parts.holders.handoverOf(former, piece);
    this.#grants.storeHandover(piece, handover);
    return handover !== null;
  }

  /** Checks the registry records of upstreams each time, since they can change while the ranges stay the same. */
  syncRanges(ranges: readonly KeyRange[]): void {
    if (ranges !== this.#syncedRanges) {
      this.#syncedRanges = ranges;
      this.#grants.keepOnly(ranges);
    }
    const isKnown = (upstream: UpstreamId): boolean => this.#parts.record(upstream) !== undefined;
    this.#open.keepOnly(isKnown);
    this.#parts.holders.keepOnly(isKnown);
  }

  /** Returns no calls: these upstreams do not accept any. */
  dequeueCalls(): [] {
    return [];
  }

  /** Returns no upstreams: a heartbeat shows that its sender is there. */
  dequeueQuestions(): [] {
    return [];
  }

  onHeard(): void {}

  onCallEnd(): void {}

  /** Returns `Infinity`: responses follow a decision and carry its result. */
  nextCallAt(): MonotonicMillis {
    return Number.POSITIVE_INFINITY;
  }

  nextDecisionAt(): MonotonicMillis {
    return this.#open.nextDeadline();
  }

  /**
   * Returns whether a heartbeat has to wait: while keys are being transferred to its upstream or soon will be, and
   * while a heartbeat of the upstream that is to receive its keys is expected. An upstream that has to release keys
   * reports this in its next heartbeat, so it is answered at once.
   */
  #mustWait(upstream: UpstreamId, isDeciding: boolean, now: MonotonicMillis): boolean {
    const remainingWait = this.#open.remainingWait(upstream, now);
    if (remainingWait === 0 || isDeciding) {
      return remainingWait > 0;
    }
    const pieces = this.#parts.releases.open();
    if (pieces.some(({ former, isReleased }) => former === upstream && !isReleased)) {
      return false;
    }
    const isReceiving = pieces.some(({ target }) => target === upstream);
    const wanted = this.#parts.holders.canProve(now) ? this.#parts.wanted() : [];
    return isReceiving || wanted.some((move) => this.#waitsFor(move, upstream, remainingWait, now));
  }

  #waitsFor(move: PendingMove, upstream: UpstreamId, remainingWait: number, now: MonotonicMillis): boolean {
    if (move.target === upstream) {
      const isOwnerOpen = this.#open.has(move.owner);
      return isOwnerOpen || this.#open.isExpected(move.owner, remainingWait - RELEASE_MILLIS, now);
    }
    const isTargetLate =
      !this.#open.has(move.target) && this.#open.isExpected(move.target, remainingWait, now);
    return move.owner === upstream && isTargetLate;
  }

  /** Returns all keys the upstream may hold; `null` if it no longer has a record. */
  #keysOf(upstream: UpstreamId): GrantedKeys | null {
    if (this.#parts.record(upstream) === undefined) {
      return null;
    }
    const owned = this.#index.ownedBy(upstream).filter((range) => !this.#parts.isBeingRevoked(range));
    let bytes = 0;
    const spans: GrantedSpan[] = [];
    for (const range of owned) {
      const handover = this.#grants.recordResponse(range);
      bytes += BYTES_PER_GRANT + (handover?.length ?? 0);
      if (bytes <= MAX_GRANT_BYTES) {
        spans.push({ from: range.from, to: range.to, fence: range.fence, handover });
      }
    }
    return { spans, holdMillis: this.#parts.timings.holdMillis };
  }
}

/** The response to a heartbeat; `keys` is `null` if nothing was renewed. */
export interface GrantedResponse {
  readonly upstream: UpstreamId;
  readonly sequence: number | null;
  readonly keys: GrantedKeys | null;
}
