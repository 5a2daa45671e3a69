/** Grants and releases ranges by calls to their owners. */
import type { TimedGrantTimings } from '../../lease/timed-grants.js';
import type { MonotonicMillis, UpstreamId } from '../../model/identifiers.js';
import { findRange, type KeyRange } from '../../model/key-range.js';
import type { UpstreamRecord } from '../../registry/types.js';
import { FREE_PROOFS, type FreeProof } from './free-proof.js';
import type { GrantCall, HolderCall, HolderOutcome, ReleaseCall } from './holder-call.js';
import type { HolderTable } from './holder-table.js';
import type { RangeCarrier, RangeCarrierParts, WantedCall } from './range-carrier.js';
import { type KeptGrant, RangeGrants } from './range-grants.js';
import type { ReleasedPiece } from './range-releases.js';

/** Delay before a failed release is retried. */
const RELEASE_RETRY_MILLIS = 150;

export class CallCarrier implements RangeCarrier {
  readonly #grants: RangeGrants;
  /** Unresponsive upstreams that get their one probe call in this step. */
  readonly #probedNow = new Set<UpstreamId>();

  constructor(
    private readonly parts: RangeCarrierParts,
    private readonly holders: HolderTable,
    private readonly timings: TimedGrantTimings,
    now: MonotonicMillis,
  ) {
    this.#grants = new RangeGrants(timings);
    this.#grants.inherit(parts.ranges(), now);
  }

  canTell(): boolean {
    return true;
  }

  canMove(): boolean {
    return true;
  }

  lostBy({ fence, from, to }: KeyRange, owner: UpstreamId, now: MonotonicMillis): FreeProof | null {
    const isGivenUp = this.#grants.find(fence, from, to)?.isGivenUp ?? false;
    return isGivenUp ? this.holders.freeBy(owner, now) : this.holders.lostBy(owner, now);
  }

  isRefused({ fence, from, to }: KeyRange): boolean {
    return this.#grants.find(fence, from, to)?.isSuperseded ?? false;
  }

  freeBy(piece: ReleasedPiece, { former }: KeyRange, now: MonotonicMillis): FreeProof | null {
    if (former === null) {
      return FREE_PROOFS.neverHeld;
    }
    return piece.isReleased ? FREE_PROOFS.released : this.holders.freeBy(former, now);
  }

  passOn({ from, to, handover }: ReleasedPiece): boolean {
    this.#grants.handOver(from, to, handover);
    return handover !== null;
  }

  follow(ranges: readonly KeyRange[], now: MonotonicMillis): void {
    this.#grants.follow(ranges, now);
  }

  takeCalls(now: MonotonicMillis): WantedCall[] {
    this.#grants.follow(this.parts.ranges(), now);
    const grants = this.#grants.takeDue(now);
    this.#probedNow.clear();
    return [...this.#releaseCalls(now), ...grants.flatMap((grant) => this.#grantCalls(grant, now))];
  }

  callEnded(call: HolderCall, outcome: HolderOutcome, now: MonotonicMillis): void {
    if (call.kind === 'grant') {
      this.#grantEnded(call, outcome, now);
    } else {
      this.#releaseEnded(call, outcome, now);
    }
  }

  nextCallAt(): MonotonicMillis {
    return Math.min(this.#grants.nextDeadline(), this.parts.releases.nextDeadline());
  }

  nextDecisionAt(): MonotonicMillis {
    return Number.POSITIVE_INFINITY;
  }

  /**
   * Returns the call for a due grant, if any. A superseded grant is not sent again: its range gets a higher fence
   * first.
   */
  #grantCalls(grant: KeptGrant, now: MonotonicMillis): WantedCall[] {
    const { from, to, fence, owner } = grant.range;
    const record = owner === null ? undefined : this.parts.record(owner);
    if (owner === null || record === undefined || !this.#mayGrant(grant.range, record)) {
      this.#grants.putOff(grant, now);
      return [];
    }
    grant.isAsked = true;
    const { holdMillis } = this.timings;
    const { address } = record.definition;
    const { handover } = grant;
    const run = record.incarnation ?? owner;
    const isBound = run !== owner && (grant.isRenewal || grant.wasAsked);
    grant.wasAsked = true;
    return [{ kind: 'grant', upstream: owner, address, from, to, fence, run, holdMillis, handover, isBound }];
  }

  #mayGrant(range: KeyRange, record: UpstreamRecord): boolean {
    const isMeant = !this.parts.isLeaving(record) && !this.parts.isBeingTaken(range);
    return isMeant && this.#mayCall(record.definition.id);
  }

  /** Limits an unresponsive upstream to one open call, which shows when it can be reached again. */
  #mayCall(upstream: UpstreamId): boolean {
    if (this.holders.silentSince(upstream) === null) {
      return true;
    }
    const isProbed = this.#probedNow.has(upstream) || this.holders.hasOpenCalls(upstream);
    this.#probedNow.add(upstream);
    return !isProbed;
  }

  #releaseCalls(now: MonotonicMillis): WantedCall[] {
    const due = this.parts.releases.takeDue(now, RELEASE_RETRY_MILLIS);
    return due.flatMap((piece) => {
      const { former, from, to, fence } = piece;
      const record = former === null ? undefined : this.parts.record(former);
      if (former === null || record === undefined || !this.#isUnowned(piece) || !this.#mayCall(former)) {
        return [];
      }
      piece.isAsked = true;
      const { address } = record.definition;
      const run = record.incarnation ?? former;
      return [{ kind: 'release', upstream: former, address, from, to, fence, run }];
    });
  }

  /**
   * Returns whether the piece is still unowned under its fence. A release under an old fence would end the grant of
   * an upstream that has regained the keys since.
   */
  #isUnowned({ from, fence }: ReleasedPiece): boolean {
    const ranges = this.parts.ranges();
    const range = ranges[findRange(ranges, from)];
    return range?.owner === null && range.fence === fence;
  }

  #grantEnded(call: GrantCall, outcome: HolderOutcome, now: MonotonicMillis): void {
    const grant = this.#grants.find(call.fence, call.from, call.to);
    if (grant === undefined) {
      return;
    }
    if (outcome.type === 'accepted') {
      this.#grants.granted(grant, now);
      return;
    }
    grant.isSuperseded = outcome.type === 'superseded' || outcome.type === 'unbound';
    if (outcome.type === 'silent' || outcome.type === 'rejected') {
      this.#grants.unanswered(grant, now);
    }
    this.#grants.putOff(grant, now);
  }

  #releaseEnded(call: ReleaseCall, outcome: HolderOutcome, now: MonotonicMillis): void {
    const piece = this.parts.releases.find(call.fence, call.from, call.to);
    if (piece === undefined) {
      return;
    }
    piece.isAsked = false;
    piece.nextAt = now + RELEASE_RETRY_MILLIS;
    if (outcome.type === 'accepted') {
      piece.isReleased = true;
      piece.handover = outcome.handover;
    }
  }
}
