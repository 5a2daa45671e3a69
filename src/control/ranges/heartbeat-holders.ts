/**
 * Tracks the keys held by upstreams that are granted ranges in the responses to their heartbeats.
 *
 * The hold of a granted key starts when the upstream sends the heartbeat. It therefore ends at the latest one longest
 * hold after the response was decided, however late that arrives. An upstream makes one call at a time and waits for
 * its response or abandons it first. So a heartbeat's report was true after all responses to earlier heartbeats were
 * applied or dropped.
 *
 * A heartbeat that reports neither held nor released keys may come from any sender: it proves nothing, and its
 * sequence does not make another heartbeat late.
 */
import {
  DEPOSED_GRANTER_MILLIS,
  longestHoldMillis,
  type TimedGrantTimings,
} from '../../lease/timed-grants.js';
import { type HeldKeys, hasReleased, isKeyReport, type ReleasedSpan } from '../../model/held-keys.js';
import type { MonotonicMillis, UpstreamId, WallMillis } from '../../model/identifiers.js';
import { type KeySpan, overlaps } from '../../model/key-range.js';
import { FREE_PROOFS, type FreeProof } from './free-proof.js';
import type { ReceivedHeartbeat } from './received-heartbeat.js';

/** A heartbeat that reports which keys its upstream holds. */
export type ReportingHeartbeat = ReceivedHeartbeat & { readonly report: HeldKeys };

/** Since when keys are unowned, and the last heartbeat of the previous owner whose response may have named them. */
export interface ReleaseTerms {
  readonly since: MonotonicMillis;
  readonly afterSequence: number;
}

/** Releases kept per upstream; if one is dropped, the next owner starts with a colder cache. */
const MAX_RELEASES = 64;

interface Holder {
  /** Start of the run that sent the last heartbeat; `null` if it does not report one or no heartbeat arrived. */
  born: WallMillis | null;
  /** This run is known to have started after the previous one and has not been granted keys yet, so it holds nothing. */
  isNewRun: boolean;
  /** Report of the latest in-order heartbeat with information on keys; `null` if there was none in this leadership. */
  latestReport: HeldKeys | null;
  /** Number of in-order heartbeats with information on keys in this leadership. */
  reportCount: number;
  lastSeenAt: MonotonicMillis;
  /** Until this time the upstream cannot have lost the keys it last reported without reporting their release. */
  heldUntil: MonotonicMillis;
  /** Sequence of the last accepted heartbeat, with or without information on keys. */
  sequence: number;
  /** Sequence of the latest heartbeat whose response granted keys. */
  grantedSequence: number;
  /** Time at which the latest response that granted keys was decided, by any leader. */
  grantedAt: MonotonicMillis;
  /** Oldest first. */
  releases: ReleasedSpan[];
}

export class HeartbeatHolders {
  readonly #holders = new Map<UpstreamId, Holder>();

  /**
   * `since` is the start of this leadership or of this way of granting. Until `callGrantsUntil`, upstreams may accept
   * or hold keys by calls, about which heartbeats prove nothing.
   */
  constructor(
    private readonly timings: TimedGrantTimings,
    private readonly since: MonotonicMillis,
    private readonly callGrantsUntil: MonotonicMillis = Number.NEGATIVE_INFINITY,
  ) {}

  /**
   * Records a heartbeat. Returns `false` if it carries no current information: a later one arrived before, or it has
   * no information on keys although its upstream still holds some, so another sender wrote it.
   */
  onHeartbeat({ upstream, born, report }: ReportingHeartbeat, now: MonotonicMillis): boolean {
    if (!this.#updateRun(upstream, born)) {
      return false;
    }
    const holder = this.#holderOf(upstream);
    const isLate = holder.latestReport !== null && report.sequence <= holder.latestReport.sequence;
    const reportsKeys = isKeyReport(report);
    if (isLate || (!reportsKeys && now < holder.heldUntil)) {
      return false;
    }
    holder.sequence = report.sequence;
    holder.lastSeenAt = now;
    if (reportsKeys) {
      this.#recordReport(holder, report, now);
    }
    return true;
  }

  /** Whether heartbeats prove what upstreams hold: none of them can have accepted keys by calls, or hold such keys. */
  canProve(now: MonotonicMillis): boolean {
    return now >= this.callGrantsUntil;
  }

  /** Records that a response granting keys is decided now, for the latest heartbeat. */
  onGranted(upstream: UpstreamId, now: MonotonicMillis): void {
    const holder = this.#holderOf(upstream);
    holder.isNewRun = false;
    holder.grantedAt = Math.max(holder.grantedAt, now);
    holder.grantedSequence = Math.max(holder.grantedSequence, holder.sequence);
  }

  /** Time of the last heartbeat, or the start of this leadership. */
  lastSeenAt(upstream: UpstreamId): MonotonicMillis {
    return this.#holders.get(upstream)?.lastSeenAt ?? this.since;
  }

  /** Returns `false`: no calls are made to these upstreams. */
  isUnreachable(): boolean {
    return false;
  }

  /** Returns the proof that an owner can no longer hold anything, or `null` if there is none. */
  lossProof(upstream: UpstreamId, now: MonotonicMillis): FreeProof | null {
    const { grantedAt, isNewRun, lastSeenAt } = this.#holderOf(upstream);
    return now >= this.#holdEnd(isNewRun ? lastSeenAt : grantedAt) ? FREE_PROOFS.bound : null;
  }

  /** Sequence of the latest heartbeat whose response granted keys; later heartbeats report these keys. */
  grantedSequence(upstream: UpstreamId): number {
    return this.#holderOf(upstream).grantedSequence;
  }

  /** Report of the latest in-order heartbeat with information on keys; `null` if there was none in this leadership. */
  latestReport(upstream: UpstreamId): HeldKeys | null {
    return this.#holders.get(upstream)?.latestReport ?? null;
  }

  /** Sequence of the last accepted heartbeat; `null` if there was none in this leadership. */
  sequence(upstream: UpstreamId): number | null {
    const sequence = this.#holders.get(upstream)?.sequence ?? Number.NEGATIVE_INFINITY;
    return Number.isFinite(sequence) ? sequence : null;
  }

  /**
   * Returns the proof that the previous owner does not hold keys that are unowned since `since`, or `null` if there
   * is none. Either it reported so after the response to heartbeat `afterSequence`, the last one that may have named
   * the keys, or no grant lasts that long. The first heartbeat of an upstream in a leadership proves nothing: it may
   * be late, and the previous leader may have answered a later one.
   */
  freeProof(
    former: UpstreamId,
    span: KeySpan,
    { since, afterSequence }: ReleaseTerms,
    now: MonotonicMillis,
  ): FreeProof | null {
    const { latestReport, reportCount, isNewRun } = this.#holderOf(former);
    if (isNewRun && this.canProve(now)) {
      return FREE_PROOFS.nextRun;
    }
    if (now >= this.#holdEnd(Math.max(since, this.since + DEPOSED_GRANTER_MILLIS))) {
      return FREE_PROOFS.bound;
    }
    const isEvidence = latestReport !== null && reportCount > 1 && latestReport.sequence > afterSequence;
    const isFree = isEvidence && this.canProve(now) && hasReleased(latestReport, span);
    return isFree ? FREE_PROOFS.released : null;
  }

  /** Returns the handover of keys the upstream released, or `null` if none is known. */
  handoverOf(former: UpstreamId, span: KeySpan): string | null {
    const releases = this.#holders.get(former)?.releases ?? [];
    const release = releases.findLast(({ from, to }) => from <= span.from && span.to <= to);
    return (release ?? releases.findLast((released) => overlaps(released, span)))?.handover ?? null;
  }

  /** Drops upstreams that no longer exist. */
  keepOnly(isKnown: (upstream: UpstreamId) => boolean): void {
    for (const upstream of this.#holders.keys()) {
      if (!isKnown(upstream)) {
        this.#holders.delete(upstream);
      }
    }
  }

  #recordReport(holder: Holder, report: HeldKeys, now: MonotonicMillis): void {
    const holdsAny = report.held !== null && report.held.length > 0;
    holder.latestReport = report;
    holder.reportCount += 1;
    holder.heldUntil = holdsAny ? now + longestHoldMillis(this.timings) : Number.NEGATIVE_INFINITY;
    holder.releases = [...holder.releases, ...report.released].slice(-MAX_RELEASES);
  }

  /**
   * Returns `false` if the heartbeat is from an earlier run than the last one recorded. A later run proves that the
   * previous run has ended.
   */
  #updateRun(upstream: UpstreamId, born: WallMillis | null): boolean {
    const holder = this.#holderOf(upstream);
    if (born === null || holder.born === born) {
      return true;
    }
    if (holder.born !== null && born < holder.born) {
      return false;
    }
    const isNext = holder.born !== null;
    this.#holders.set(
      upstream,
      isNext ? { ...this.#newHolder(), born, isNewRun: true } : { ...holder, born },
    );
    return true;
  }

  /** Latest time until which keys of a response decided at `grantedAt` can be held. */
  #holdEnd(grantedAt: MonotonicMillis): MonotonicMillis {
    return Math.max(this.callGrantsUntil, grantedAt + longestHoldMillis(this.timings));
  }

  #holderOf(upstream: UpstreamId): Holder {
    const existing = this.#holders.get(upstream);
    if (existing !== undefined) {
      return existing;
    }
    const created = this.#newHolder();
    this.#holders.set(upstream, created);
    return created;
  }

  /** The initial state of an upstream without heartbeats in this leadership. */
  #newHolder(): Holder {
    return {
      born: null,
      isNewRun: false,
      latestReport: null,
      reportCount: 0,
      lastSeenAt: this.since,
      heldUntil: Number.NEGATIVE_INFINITY,
      sequence: Number.NEGATIVE_INFINITY,
      grantedSequence: Number.NEGATIVE_INFINITY,
      grantedAt: this.since + DEPOSED_GRANTER_MILLIS,
      releases: [],
    };
  }
}
