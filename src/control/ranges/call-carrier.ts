/** Grants and releases ranges by calls to their owners. */
import type { RangeTimings } from '../../lease/range-timings.js';
import type { MonotonicMillis, UpstreamId } from '../../model/identifiers.js';
import { findRange, type KeyRange } from '../../model/key-range.js';
import type { UpstreamRecord } from '../../registry/types.js';
import { FREE_PROOFS, type FreeProof } from './free-proof.js';
import { GRANT_STEPS, GrantContact } from './grant-contact.js';
import type { GrantCall, HolderCall, HolderOutcome, ReleaseCall } from './holder-call.js';
import type { HolderTable } from './holder-table.js';
import type { PlannedCall, RangeCarrier, RangeCarrierParts } from './range-carrier.js';
import { type GrantState, RangeGrants } from './range-grants.js';
import type { ReleasedPiece } from './range-releases.js';

/** Delay before a failed release is retried. */
const RELEASE_RETRY_MILLIS = 150;
/** Time after which a grant whose upstream is asked first is looked at again if nothing was heard. */
const ASKED_RETRY_MILLIS = 150;

export class CallCarrier implements RangeCarrier {
  readonly #grants: RangeGrants;
  readonly #contact: GrantContact;
  /** Unresponsive upstreams that get their one release in this step. */
  readonly #probed = new Set<UpstreamId>();
  /** Upstreams that are to be asked whether they are there. */
  readonly #toAsk = new Set<UpstreamId>();

  constructor(
    private readonly parts: RangeCarrierParts,
    private readonly holders: HolderTable,
    private readonly timings: RangeTimings,
    now: MonotonicMillis,
  ) {
    this.#grants = new RangeGrants(timings);
    this.#contact = new GrantContact(timings.heartbeatMillis, holders.leadingSince);
    this.#grants.inherit(parts.ranges(), now);
  }

  canNotify(): boolean {
    return true;
  }

  canMove(): boolean {
    return true;
  }

  lossProof(range: KeyRange, owner: UpstreamId, now: MonotonicMillis): FreeProof | null {
    return this.isAbandoned(range)
      ? this.holders.freeProof(owner, range, now)
      : this.holders.lossProof(owner, range, now);
  }

  isAbandoned({ fence, from, to }: KeyRange): boolean {
    return this.#grants.find(fence, from, to)?.isAbandoned ?? false;
  }

  isRejected({ fence, from, to }: KeyRange): boolean {
    return this.#grants.find(fence, from, to)?.isSuperseded ?? false;
  }

  freeProof(piece: ReleasedPiece, { former }: KeyRange, now: MonotonicMillis): FreeProof | null {
    if (former === null) {
      return FREE_PROOFS.neverHeld;
    }
    return piece.isReleased ? FREE_PROOFS.released : this.holders.freeProof(former, piece, now);
  }

  transferHandover({ from, to, handover }: ReleasedPiece): boolean {
    this.#grants.storeHandover(from, to, handover);
    return handover !== null;
  }

  syncRanges(ranges: readonly KeyRange[], now: MonotonicMillis): void {
    this.#grants.syncRanges(ranges, now);
  }

  dequeueCalls(now: MonotonicMillis): PlannedCall[] {
    this.#grants.syncRanges(this.parts.ranges(), now);
    const grants = this.#grants.takeDue(now, (grant) => this.#canSend(grant, now));
    this.#probed.clear();
    return [...this.#releaseCalls(now), ...grants.flatMap((grant) => this.#grantCalls(grant))];
  }

  dequeueQuestions(): UpstreamId[] {
    const upstreams = [...this.#toAsk];
    this.#toAsk.clear();
    return upstreams;
  }

  onHeard(upstream: UpstreamId, now: MonotonicMillis): void {
    this.#grants.onHeard(upstream, now);
  }

  onCallEnd(call: HolderCall, outcome: HolderOutcome, now: MonotonicMillis): void {
    if (call.kind === 'grant') {
      this.#onGrantEnd(call, outcome, now);
    } else {
      this.#onReleaseEnd(call, outcome, now);
    }
  }

  nextCallAt(): MonotonicMillis {
    return Math.min(this.#grants.nextDeadline(), this.parts.releases.nextDeadline());
  }

  nextDecisionAt(): MonotonicMillis {
    return Number.POSITIVE_INFINITY;
  }

  /**
   * Returns whether a due grant is sent now; if not, schedules the next look at it. A superseded grant is not sent again: its range gets
   * a higher fence first.
   */
  #canSend(grant: GrantState, now: MonotonicMillis): boolean {
    const { owner } = grant.range;
    const record = owner === null ? undefined : this.parts.record(owner);
    if (owner === null || record === undefined || !this.#isWanted(grant.range, record)) {
      this.#grants.postpone(grant, now);
      return false;
    }
    const heardAt = this.holders.heardAt(owner);
    const presentAt = this.holders.presentAt(owner);
    const isSilent = this.holders.silentSince(owner) !== null;
    const isUrgent = this.#grants.isUrgent(grant, now);
    const step = this.#contact.stepOf({ heardAt, presentAt, isSilent, isUrgent }, now);
    if (step === GRANT_STEPS.ask) {
      this.#toAsk.add(owner);
      this.#grants.delay(grant, now + ASKED_RETRY_MILLIS);
    } else if (step === GRANT_STEPS.wait) {
      this.#grants.delay(grant, this.#contact.askAt(heardAt));
    }
    return step === GRANT_STEPS.send;
  }

  #isWanted(range: KeyRange, record: UpstreamRecord): boolean {
    return !this.parts.isLeaving(record) && !this.parts.isBeingRevoked(range);
  }

  /** Returns the call for a grant that can be sent. */
  #grantCalls(grant: GrantState): PlannedCall[] {
    const { from, to, fence, owner } = grant.range;
    const record = owner === null ? undefined : this.parts.record(owner);
    if (owner === null || record === undefined) {
      return [];
    }
    grant.isPending = true;
    const { holdMillis } = this.timings;
    const { address } = record.definition;
    const { handover } = grant;
    const run = record.incarnation ?? owner;
    const isBound = run !== owner && (grant.isRenewal || grant.wasSent);
    grant.wasSent = true;
    return [{ kind: 'grant', upstream: owner, address, from, to, fence, run, holdMillis, handover, isBound }];
  }

  /** Limits an unresponsive upstream to one open call, which shows when it can be reached again. */
  #canRelease(upstream: UpstreamId): boolean {
    if (this.holders.silentSince(upstream) === null) {
      return true;
    }
    const isProbed = this.#probed.has(upstream) || this.holders.hasOpenCalls(upstream);
    this.#probed.add(upstream);
    return !isProbed;
  }

  #releaseCalls(now: MonotonicMillis): PlannedCall[] {
    const due = this.parts.releases.takeDue(now, RELEASE_RETRY_MILLIS);
    return due.flatMap((piece) => {
      const { former, from, to, fence } = piece;
      const record = former === null ? undefined : this.parts.record(former);
      if (former === null || record === undefined || !this.#isUnowned(piece) || !this.#canRelease(former)) {
        return [];
      }
      piece.isPending = true;
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

  #onGrantEnd(call: GrantCall, outcome: HolderOutcome, now: MonotonicMillis): void {
    const grant = this.#grants.find(call.fence, call.from, call.to);
    if (grant === undefined) {
      return;
    }
    if (outcome.type === 'accepted') {
      this.#grants.onGranted(grant, now);
      return;
    }
    grant.isSuperseded = outcome.type === 'superseded' || outcome.type === 'unbound';
    if (outcome.type === 'silent' || outcome.type === 'rejected') {
      this.#grants.onNoResponse(grant, now);
    }
    this.#grants.postpone(grant, now);
  }

  #onReleaseEnd(call: ReleaseCall, outcome: HolderOutcome, now: MonotonicMillis): void {
    const piece = this.parts.releases.find(call.fence, call.from, call.to);
    if (piece === undefined) {
      return;
    }
    piece.isPending = false;
    piece.nextAt = now + RELEASE_RETRY_MILLIS;
    if (outcome.type === 'accepted') {
      piece.isReleased = true;
      piece.handover = outcome.handover;
    }
  }
}
