/**
 * Grants of ranges that ride on the answers to their owners' heartbeats. Keys are taken off an owner, or given to one, only
 * while a heartbeat of it waits for its answer: so the registry says nothing of a new owner that this one learns much later.
 */
import type { RangeTimings } from '../../lease/range-timings.js';
import type { GrantedKeys, GrantedSpan } from '../../model/held-keys.js';
import type { MonotonicMillis, UpstreamId } from '../../model/identifiers.js';
import type { KeyRange } from '../../model/key-range.js';
import type { PlannedSpan } from '../../placement/ranges/range-planner.js';
import { FREE_PROOFS, type FreeProof } from './free-proof.js';
import type { HeartbeatHolders, ReportingHeartbeat } from './heartbeat-holders.js';
import { type AnswerHeartbeat, OpenHeartbeats } from './open-heartbeats.js';
import type { RangeCarrier, RangeCarrierParts } from './range-carrier.js';
import { RangeIndex } from './range-index.js';
import type { ReleasedPiece } from './range-releases.js';
import { ToldGrants } from './told-grants.js';

/** What an owner takes to let go of keys and say so, as the wait of their next owner's heartbeat allows for it. */
const RELEASE_MILLIS = 250;
/** Bytes of an answer that grants may take; its reader takes 4 KiB. */
const MOST_GRANT_BYTES = 3800;
/** Bytes that one grant takes at most beside its handover. */
const GRANT_BYTES = 36;

/** A planned move with the owner that gives it up. */
export interface WantedMove extends PlannedSpan {
  readonly owner: UpstreamId;
}

export interface HeartbeatCarrierParts extends RangeCarrierParts {
  readonly holders: HeartbeatHolders;
  readonly timings: RangeTimings;
  /** Moves that wait for a good moment. */
  readonly wanted: () => readonly WantedMove[];
}

export class HeartbeatCarrier implements RangeCarrier {
  readonly #parts: HeartbeatCarrierParts;
  readonly #open: OpenHeartbeats;
  readonly #told = new ToldGrants();
  readonly #index: RangeIndex;
  /** Ranges as they were followed last. */
  #followed: readonly KeyRange[] | null = null;
  /** For each piece without owner, the last heartbeat whose answer may have named it. */
  readonly #namedUntil = new WeakMap<ReleasedPiece, number>();

  constructor(parts: HeartbeatCarrierParts) {
    this.#parts = parts;
    this.#open = new OpenHeartbeats(parts.timings.heartbeatMillis);
    this.#index = new RangeIndex(parts.ranges);
  }

  /** A heartbeat came. One that says nothing of now is answered at once and renews nothing. */
  take(heartbeat: ReportingHeartbeat, answer: AnswerHeartbeat, now: MonotonicMillis): void {
    const { upstream, report } = heartbeat;
    if (!this.#parts.holders.heard(heartbeat, now)) {
      answer(null, now);
      return;
    }
    this.#told.shown(this.#index.ownedBy(upstream), report);
    this.#open.open(upstream, answer, now);
  }

  /** Answers the heartbeats that wait for nothing; `isDeciding`: a change of owners is under way, which all wait for. */
  answerDue(isDeciding: boolean, now: MonotonicMillis): GrantedAnswer[] {
    const due = this.#open.upstreams().filter((upstream) => !this.#mustWait(upstream, isDeciding, now));
    return due.map((upstream) => {
      const keys = this.#keysOf(upstream);
      if (keys !== null) {
        this.#parts.holders.granted(upstream, now);
      }
      this.#open.close(upstream, keys, now);
      const sequence = this.#parts.holders.sequence(upstream);
      return { upstream, sequence, keys };
    });
  }

  /** This leadership is over: what is open renews nothing. */
  end(now: MonotonicMillis): void {
    for (const upstream of this.#open.upstreams()) {
      this.#open.close(upstream, null, now);
    }
  }

  canTell(upstream: UpstreamId): boolean {
    return this.#open.has(upstream);
  }

  /** The target's heartbeat should wait already, unless it comes too late for that. */
  canMove(owner: UpstreamId, target: UpstreamId, now: MonotonicMillis): boolean {
    const isTargetSoon = this.#open.isExpected(target, this.#open.patienceOf(owner, now), now);
    return this.#open.has(owner) && (this.#open.has(target) || !isTargetSoon);
  }

  lostBy(_range: KeyRange, owner: UpstreamId, now: MonotonicMillis): FreeProof | null {
    return this.#parts.holders.lostBy(owner, now);
  }

  isRefused(range: KeyRange): boolean {
    return this.#told.isRefused(range);
  }

  freeBy(piece: ReleasedPiece, { former }: KeyRange, now: MonotonicMillis): FreeProof | null {
    if (former === null) {
      return FREE_PROOFS.neverHeld;
    }
    if (piece.isReleased) {
      return FREE_PROOFS.released;
    }
    const { holders } = this.#parts;
    const afterSequence = this.#namedUntil.get(piece) ?? holders.grantedSequence(former);
    this.#namedUntil.set(piece, afterSequence);
    const proof = holders.freeBy(former, piece, { since: piece.since, afterSequence }, now);
    piece.isReleased = proof !== null;
    return proof;
  }

  passOn(piece: ReleasedPiece, { former }: KeyRange): boolean {
    const handover = former === null ? null : this.#parts.holders.handoverOf(former, piece);
    this.#told.handOver(piece, handover);
    return handover !== null;
  }

  /** Upstreams change without ranges, so these are looked at each time. */
  follow(ranges: readonly KeyRange[]): void {
    if (ranges !== this.#followed) {
      this.#followed = ranges;
      this.#told.keepOnly(ranges);
    }
    const isKnown = (upstream: UpstreamId): boolean => this.#parts.record(upstream) !== undefined;
    this.#open.keepOnly(isKnown);
    this.#parts.holders.keepOnly(isKnown);
  }

  /** Its upstreams take no calls. */
  takeCalls(): [] {
    return [];
  }

  callEnded(): void {}

  /** Answers follow a decision: what it makes of a heartbeat is told in the answer. */
  nextCallAt(): MonotonicMillis {
    return Number.POSITIVE_INFINITY;
  }

  nextDecisionAt(): MonotonicMillis {
    return this.#open.nextDeadline();
  }

  /**
   * A heartbeat waits while keys are on their way to its upstream, or soon will be, and while the upstream that is to get
   * keys of this one is expected. One that lets go of keys says so in its next heartbeat, so it is answered at once.
   */
  #mustWait(upstream: UpstreamId, isDeciding: boolean, now: MonotonicMillis): boolean {
    const patience = this.#open.patienceOf(upstream, now);
    if (patience === 0 || isDeciding) {
      return patience > 0;
    }
    const pieces = this.#parts.releases.open();
    if (pieces.some(({ former, isReleased }) => former === upstream && !isReleased)) {
      return false;
    }
    const isReceiving = pieces.some(({ target }) => target === upstream);
    return isReceiving || this.#parts.wanted().some((move) => this.#waitsFor(move, upstream, patience, now));
  }

  #waitsFor(move: WantedMove, upstream: UpstreamId, patience: number, now: MonotonicMillis): boolean {
    if (move.target === upstream) {
      const isOwnerOpen = this.#open.has(move.owner);
      return isOwnerOpen || this.#open.isExpected(move.owner, patience - RELEASE_MILLIS, now);
    }
    const isTargetLate = !this.#open.has(move.target) && this.#open.isExpected(move.target, patience, now);
    return move.owner === upstream && isTargetLate;
  }

  /** All that an upstream is to hold; `null`: it isn't known any more. */
  #keysOf(upstream: UpstreamId): GrantedKeys | null {
    if (this.#parts.record(upstream) === undefined) {
      return null;
    }
    const owned = this.#index.ownedBy(upstream).filter((range) => !this.#parts.isBeingTaken(range));
    let bytes = 0;
    const spans: GrantedSpan[] = [];
    for (const range of owned) {
      const handover = this.#told.tell(range);
      bytes += GRANT_BYTES + (handover?.length ?? 0);
      if (bytes <= MOST_GRANT_BYTES) {
        spans.push({ from: range.from, to: range.to, fence: range.fence, handover });
      }
    }
    return { spans, holdMillis: this.#parts.timings.holdMillis };
  }
}

/** What one heartbeat was answered; `null`: nothing was renewed. */
export interface GrantedAnswer {
  readonly upstream: UpstreamId;
  readonly sequence: number | null;
  readonly keys: GrantedKeys | null;
}
