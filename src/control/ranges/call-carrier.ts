/** Grants and releases of ranges by calls to their owners. */
import type { TimedGrantTimings } from '../../lease/timed-grants.js';
import type { MonotonicMillis, UpstreamId } from '../../model/identifiers.js';
import type { KeyRange } from '../../model/key-range.js';
import type { GrantCall, HolderCall, HolderOutcome, ReleaseCall } from './holder-call.js';
import type { HolderTable } from './holder-table.js';
import type { RangeCarrier, RangeCarrierParts, WantedCall } from './range-carrier.js';
import { RangeGrants } from './range-grants.js';
import type { ReleasedPiece } from './range-releases.js';

/** A release that failed is tried again after this. */
const RELEASE_RETRY_MILLIS = 150;

export class CallCarrier implements RangeCarrier {
  readonly #grants: RangeGrants;

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

  isLost(owner: UpstreamId, now: MonotonicMillis): boolean {
    return this.holders.isLost(owner, now);
  }

  isRefused({ fence, from, to }: KeyRange): boolean {
    return this.#grants.find(fence, from, to)?.isSuperseded ?? false;
  }

  isFree(piece: ReleasedPiece, { former }: KeyRange, now: MonotonicMillis): boolean {
    return piece.isReleased || former === null || !this.holders.mayHold(former, now);
  }

  passOn({ from, to, handover }: ReleasedPiece): void {
    this.#grants.handOver(from, to, handover);
  }

  keepOnly(ranges: readonly KeyRange[]): void {
    this.#grants.keepOnly(ranges);
  }

  takeCalls(now: MonotonicMillis): WantedCall[] {
    return this.parts
      .ranges()
      .flatMap((range) =>
        range.owner === null ? this.#releaseCalls(range, now) : this.#grantCalls(range, range.owner, now),
      );
  }

  callEnded(call: HolderCall, outcome: HolderOutcome, now: MonotonicMillis): void {
    if (call.kind === 'grant') {
      this.#grantEnded(call, outcome, now);
    } else if (call.kind === 'release') {
      this.#releaseEnded(call, outcome, now);
    }
  }

  nextDeadline(): MonotonicMillis {
    const deadlines = this.parts.ranges().map((range) => this.#nextOf(range));
    return deadlines.reduce((first, next) => Math.min(first, next), Number.POSITIVE_INFINITY);
  }

  #nextOf(range: KeyRange): MonotonicMillis {
    if (range.owner !== null) {
      const grant = this.#grants.find(range.fence, range.from, range.to);
      return grant === undefined || grant.isAsked || grant.isSuperseded
        ? Number.POSITIVE_INFINITY
        : grant.nextAt;
    }
    return this.parts.releases.nextAt(range);
  }

  /** A grant that was superseded isn't asked for again: its range gets a higher fence first. */
  #grantCalls(range: KeyRange, owner: UpstreamId, now: MonotonicMillis): WantedCall[] {
    const grant = this.#grants.of(range, now);
    const record = this.parts.record(owner);
    const isOpen = !grant.isAsked && !grant.isSuperseded && !this.parts.isBeingTaken(range);
    if (record === undefined || record.definition.leaving || !isOpen || now < grant.nextAt) {
      return [];
    }
    grant.isAsked = true;
    const { from, to, fence } = range;
    const { holdMillis } = this.timings;
    const { address } = record.definition;
    const { handover } = grant;
    return [{ kind: 'grant', upstream: owner, address, from, to, fence, holdMillis, handover }];
  }

  #releaseCalls(range: KeyRange, now: MonotonicMillis): WantedCall[] {
    const { former, fence } = range;
    const record = former === null ? undefined : this.parts.record(former);
    if (former === null || record === undefined) {
      return [];
    }
    const { address } = record.definition;
    const due = this.parts.releases
      .piecesOf(range, now, () => [])
      .filter((piece) => !piece.isAsked && !piece.isReleased && now >= piece.nextAt);
    return due.map((piece) => {
      piece.isAsked = true;
      const { from, to } = piece;
      return { kind: 'release', upstream: former, address, from, to, fence };
    });
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
    grant.isSuperseded = outcome.type === 'superseded';
    this.#grants.failed(grant, now);
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
