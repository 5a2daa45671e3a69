/** A router's state of one upstream from its own requests; hints from other sources are kept separately. */
import type { Incarnation, ServiceName, UpstreamId } from '../../model/identifiers.js';
import type { UpstreamRecord } from '../../registry/types.js';
import type { EstimatedUse, RankHeadroom } from '../capacity/rank-headroom.js';
import { SlotLimit } from '../capacity/slot-limit.js';
import { hasCapacity, maxForeignLoad, type UpstreamUse } from '../capacity/upstream-capacity.js';
import type { RunNotices } from '../notices/run-notices.js';
import { UpstreamPath } from '../paths/upstream-path.js';
import type { FleetView } from './fleet-view.js';
import { OutlierEjection } from './outlier-ejection.js';
import { ReportedLoad } from './reported-load.js';
import { ServiceTimes } from './service-times.js';
import { StandingEvidence } from './standing.js';
import { WarmupState } from './warmup-state.js';

/** Part of a service time added to the cost in proportion to the used slots, so that ties go to the less loaded upstream. */
const TIE_BREAK_SHARE = 0.05;
const SLOW_START_MILLIS = 10_000;
/** Fraction of its normal traffic that an upstream gets at the beginning of slow start. */
const SLOW_START_FLOOR = 0.1;

export class UpstreamState {
  readonly id: UpstreamId;
  readonly evidence = new StandingEvidence();
  ejection = new OutlierEjection();
  readonly slotLimit: SlotLimit;
  readonly path = new UpstreamPath();
  inFlight = 0;
  /** Headroom that the service keeps free for more important requests; `null` if none. */
  rankHeadroom: RankHeadroom | null = null;
  /** Notices of the current run; `null` if it has sent none. */
  notices: RunNotices | null = null;
  /** When this router last received anything from the upstream; `null`: never. */
  heardAt: number | null = null;
  /** End of the pause that the upstream requested with a refusal. */
  pausedUntil = Number.NEGATIVE_INFINITY;
  /** Whether a connection has failed since the last success. */
  private wasUnreachable = false;
  readonly warmupState: WarmupState;
  readonly #serviceTimes = new ServiceTimes();
  readonly #reportedLoad = new ReportedLoad();
  #isEvacuated = false;
  #fleetView: FleetView | null = null;

  /** `coldSince`: start of the upstream; `-Infinity` if it was there when the router started. */
  constructor(
    public record: UpstreamRecord,
    slots: number,
    private coldSince: number,
    /** Position in this router's order of preference; lower values are preferred. */
    readonly affinity = 0,
  ) {
    this.id = record.definition.id;
    this.slotLimit = new SlotLimit(slots);
    this.warmupState = new WarmupState(this.id);
    this.#updateOperatorLeaving();
  }

  /** Sets whether the upstream's zone is evacuated. */
  evacuated(isEvacuated: boolean, now: number): void {
    if (this.#isEvacuated && !isEvacuated) {
      // The upstream was idle during the evacuation.
      this.warmupState.markIdle(now);
    }
    this.#isEvacuated = isEvacuated;
    this.#updateOperatorLeaving();
  }

  /** Applies the warm-up time that the upstream last announced to control. */
  updateWarmup(now: number): void {
    this.warmupState.announced(this.record.definition.announced?.warmupMillis ?? 0, now);
  }

  /** Sets the source of the fleet's measurements of this upstream. */
  setFleetView(view: FleetView): void {
    this.#fleetView = view;
  }

  /** Speed as measured by the fleet, 1 for the mean of its service; `null` if no difference is known. */
  fleetSpeed(now: number): number | null {
    return this.#fleetView?.speedOf(this.id, now) ?? null;
  }

  /** Whether the upstream's zone is evacuated. */
  get isEvacuated(): boolean {
    return this.#isEvacuated;
  }

  get zone(): string {
    return this.record.definition.zone;
  }

  get service(): ServiceName {
    return this.record.definition.service;
  }

  get incarnation(): Incarnation | null {
    return this.record.incarnation;
  }

  /** Smoothed time from dispatch to answer, in milliseconds; an assumed value before the first answer. */
  get serviceMillis(): number {
    return this.#serviceTimes.millis;
  }

  /** Like `serviceMillis`, but `null` before the first answer. */
  get measuredMillis(): number | null {
    return this.#serviceTimes.measuredMillis;
  }

  /** Smoothed time of requests that found a free slot, in milliseconds; `null` before the first one. */
  get unqueuedMillis(): number | null {
    return this.#serviceTimes.unqueuedMillis;
  }

  /** Whether one more request would find a free slot, according to the reported loads. */
  hasFreeSlot(now: number): boolean {
    return this.inFlight + this.load(now) < this.slotLimit.totalSlots;
  }

  /** Applies a changed record. A new incarnation starts cold and without earlier evidence. */
  update(record: UpstreamRecord, now: number): void {
    const isRestarted = record.incarnation !== null && record.incarnation !== this.record.incarnation;
    if (isRestarted && this.record.incarnation !== null) {
      this.evidence.reset();
      this.ejection = new OutlierEjection();
      this.pausedUntil = Number.NEGATIVE_INFINITY;
      this.wasUnreachable = false;
      this.coldSince = now;
      this.#reportedLoad.reset();
    }
    const isNewRevision = record.revision !== this.record.revision;
    this.record = record;
    this.#updateOperatorLeaving();
    if (isNewRevision) {
      this.warmupState.onUpdate();
      this.updateWarmup(now);
    }
  }

  /** Sets the notices of the current run; `null` if it has sent none. */
  setNotices(notices: RunNotices | null): void {
    this.notices = notices;
    this.evidence.reportsDraining = notices?.isLeaving ?? false;
  }

  /** Whether nothing comes back from the upstream over any path, as far as this router knows. */
  get isOutOfReach(): boolean {
    const { outOfReachAt } = this.path;
    return outOfReachAt !== null && (this.heardAt === null || this.heardAt < outOfReachAt);
  }

  /** Whether the upstream's notices admit one more request from this router now, regardless of capacity. */
  admits(now: number): boolean {
    return this.notices === null || this.notices.admits(now);
  }

  /** End of the pause or back-off that the upstream requested. */
  get pauseEndsAt(): number {
    return Math.max(this.pausedUntil, this.notices?.backoff.until ?? Number.NEGATIVE_INFINITY);
  }

  /** Whether the upstream has set a rate limit for all routers together. */
  get isLimited(): boolean {
    return this.notices?.limit.isInForce ?? false;
  }

  /** Whether one more request of a rank may be sent now. `waitedShare`: fraction of its allowed wait that has passed, from 0 to 1. */
  hasSlot(now: number, rank: number, waitedShare = 0): boolean {
    if (now < this.pausedUntil || !this.admits(now)) {
      return false;
    }
    const above = this.rankHeadroom?.ranksAbove(rank, now) ?? 0;
    if (above > 0 && this.rankHeadroom?.admits(rank, above, waitedShare, this.#reportedUse(now)) === false) {
      return false;
    }
    return this.isAnnounced ? hasCapacity(this.#use(now)) : this.inFlight < this.slotLimit.slots;
  }

  /** Whether the upstream probably has a free slot. */
  isProbablyFree(now: number): boolean {
    return this.rankHeadroom?.isClear(this.#reportedUse(now)) ?? true;
  }

  /** Whether requests are probably queued at the upstream. */
  isProbablyQueueing(now: number): boolean {
    return this.rankHeadroom?.isCrowded(this.#reportedUse(now)) ?? false;
  }

  dispatched(): void {
    this.inFlight += 1;
  }

  /** Records an answer after `tookMillis`; `load` is the number of outstanding requests that it reported. */
  answered(tookMillis: number, load: number | null, now: number): void {
    this.#serviceTimes.answered(tookMillis);
    // The answered request no longer counts as in flight, but it had used a slot of the limit.
    this.slotLimit.onAnswer(load, this.inFlight + 1, now);
    if (load !== null) {
      const relativeLoad = (load + 1) / (this.slotLimit.totalSlots * (this.fleetSpeed(now) ?? 1));
      this.#fleetView?.recordRelativeLoad(this.service, this.zone, relativeLoad, now);
      this.recordLoad(load, now);
    }
  }

  /** Records the answer to an attempt that found a free slot. */
  recordUnqueuedAnswer(tookMillis: number): void {
    this.#serviceTimes.recordUnqueuedAnswer(tookMillis);
  }

  /** Records the load that an answer or a probe reported. */
  recordLoad(load: number, now: number): void {
    this.rankHeadroom?.onLoadReport(load, this.slotLimit.totalSlots, now);
    this.#reportedLoad.report(load, this.inFlight, this.slotLimit.totalSlots, now);
  }

  /** Records a rejection for lack of capacity; `load` is the number of outstanding requests, `Infinity` if unknown. */
  recordOverload(load: number, now: number): void {
    this.rankHeadroom?.onLoadReport(load, this.slotLimit.totalSlots, now);
    this.#reportedLoad.recordOverload(load, this.inFlight, this.slotLimit.totalSlots, now);
  }

  /** Estimated milliseconds until there is capacity for one more request, by the load of other routers; 0 if there may be now. */
  millisUntilCapacity(now: number): number {
    const pause = Math.max(0, this.pausedUntil - now);
    if (!this.isAnnounced || this.inFlight > this.slotLimit.totalSlots) {
      return pause;
    }
    return Math.max(pause, this.#reportedLoad.millisUntilBelow(maxForeignLoad(this.#use(now)), now));
  }

  /** Forgets failures since a time, because the path was to blame for them. */
  forgetFailuresSince(at: number): void {
    this.evidence.forgetFailuresSince(at);
    if (this.ejection.ejectedAt >= at) {
      this.ejection = new OutlierEjection();
    }
    this.pausedUntil = Number.NEGATIVE_INFINITY;
    this.wasUnreachable = false;
    this.warmupState.onUpdate();
  }

  /** Records a failed connection: the upstream may have stopped, and be cold when it is back. */
  recordConnectionFailure(now: number): void {
    this.evidence.recordConnectionFailure(now);
    this.wasUnreachable = true;
  }

  recordSuccess(now: number): void {
    if (this.wasUnreachable) {
      this.wasUnreachable = false;
      this.coldSince = now;
    }
    this.warmupState.recordSuccess(now);
    this.evidence.recordSuccess(now);
    this.ejection.succeeded(now);
  }

  /** Decayed number of outstanding requests of other routers. */
  load(now: number): number {
    return this.#reportedLoad.foreignLoad(now);
  }

  /**
   * Estimated milliseconds until one more request would be done if requests were served in order. The cost of a cold upstream
   * is raised, so that its share of the requests grows gradually.
   */
  cost(now: number): number {
    const fleetCost = this.#costByFleet(now);
    if (fleetCost !== null) {
      return fleetCost / this.#slowStartShare(now);
    }
    const outstanding = this.inFlight + 1 + this.load(now);
    // Queueing is counted in rounds below, so the time of one round must not include waiting for other requests.
    const roundMillis = this.isAnnounced ? (this.unqueuedMillis ?? this.serviceMillis) : this.serviceMillis;
    const rounds = this.isAnnounced ? this.roundsOf(outstanding) : outstanding;
    return (rounds * roundMillis) / this.#slowStartShare(now);
  }

  /** The cost according to the fleet's measurements; `null` if they show no difference or have expired. */
  #costByFleet(now: number): number | null {
    const fleetRoundMillis = this.#fleetView?.meanMillisIfUneven(this.service, this.zone, now) ?? null;
    if (fleetRoundMillis === null || !this.isAnnounced) {
      return null;
    }
    const speed = this.fleetSpeed(now) ?? 1;
    const { totalSlots: most } = this.slotLimit;
    const zoneUsual = (this.#fleetView?.usualRelativeLoad(this.service, this.zone) ?? 0) * speed * most;
    const others = this.#reportedLoad.expected(Math.max(0, zoneUsual - this.inFlight - 1), now);
    return (this.roundsOf(this.inFlight + 1 + others) * fleetRoundMillis) / speed;
  }

  /** Whether the upstream announced how many requests it serves at once. */
  get isAnnounced(): boolean {
    return this.record.definition.announced !== undefined;
  }

  /** Number of service times until this many requests are done, as the slots work in parallel. Ties go to the less loaded upstream. */
  private roundsOf(outstanding: number): number {
    const { totalSlots: most } = this.slotLimit;
    return Math.max(1, outstanding / most) + (TIE_BREAK_SHARE * outstanding) / most;
  }

  #slowStartShare(now: number): number {
    const startedAt = Math.max(this.coldSince, this.ejection.ejectedUntil);
    const share = (now - startedAt) / SLOW_START_MILLIS;
    return Math.min(1, Math.max(SLOW_START_FLOOR, share));
  }

  #use(now: number): UpstreamUse {
    return { slots: this.slotLimit.totalSlots, inFlight: this.inFlight, foreignLoad: this.load(now) };
  }

  #reportedUse(now: number): EstimatedUse {
    return { ...this.#use(now), freshness: this.#reportedLoad.freshness(now) };
  }

  #updateOperatorLeaving(): void {
    this.evidence.isDrainedByOperator = this.record.definition.leaving || this.#isEvacuated;
  }
}
