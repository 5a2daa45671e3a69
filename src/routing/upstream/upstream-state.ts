/** What a router knows of one upstream from its own requests, with hints from others kept apart. */
import type { Incarnation, UpstreamId } from '../../model/identifiers.js';
import type { UpstreamRecord } from '../../registry/types.js';
import type { RunNotices } from '../notices/run-notices.js';
import type { KnownUse, RankRoom } from '../room/rank-room.js';
import { SlotLimit } from '../room/slot-limit.js';
import { hasRoom, mostForeignLoad, type UpstreamUse } from '../room/upstream-room.js';
import { StandingEvidence } from './leaving-table.js';
import { OutlierEjection } from './outlier-ejection.js';
import { ReportedLoad } from './reported-load.js';
import { ServiceTimes } from './service-times.js';
import { Warmth } from './warmth.js';

/** How much of a turn a free slot's neighbour counts. */
const TIE_SHARE = 0.05;
const SLOW_START_MILLIS = 10_000;
/** Share of its part that a cold upstream gets at first. */
const SLOW_START_FLOOR = 0.1;

export class UpstreamState {
  readonly id: UpstreamId;
  readonly evidence = new StandingEvidence();
  ejection = new OutlierEjection();
  readonly slotLimit: SlotLimit;
  inFlight = 0;
  /** What its service keeps free for more important work; `null`: nothing. */
  rankRoom: RankRoom | null = null;
  /** What its present run said of itself; `null`: nothing. */
  notices: RunNotices | null = null;
  /** It asked for a pause with a refusal. */
  pausedUntil = Number.NEGATIVE_INFINITY;
  /** A connection failed since the last success. */
  private wasUnreachable = false;
  readonly warmth: Warmth;
  readonly #times = new ServiceTimes();
  readonly #load = new ReportedLoad();
  #isEvacuated = false;

  /** `coldSince`: when it came up; `-Infinity` for one that was there when the router started. */
  constructor(
    public record: UpstreamRecord,
    slots: number,
    private coldSince: number,
    /** Its place in this router's order of preference, the lowest first. */
    readonly affinity = 0,
  ) {
    this.id = record.definition.id;
    this.slotLimit = new SlotLimit(slots);
    this.warmth = new Warmth(this.id);
    this.#judgeLeaving();
  }

  /** Its zone is out of use, or may be used again. */
  evacuated(isEvacuated: boolean, now: number): void {
    if (this.#isEvacuated && !isEvacuated) {
      // It had nothing to do meanwhile.
      this.warmth.idled(now);
    }
    this.#isEvacuated = isEvacuated;
    this.#judgeLeaving();
  }

  /** What control heard from it last. */
  hearWarmth(now: number): void {
    this.warmth.announced(this.record.definition.announced?.warmupMillis ?? 0, now);
  }

  /** Whether its zone is out of use. */
  get isEvacuated(): boolean {
    return this.#isEvacuated;
  }

  get zone(): string {
    return this.record.definition.zone;
  }

  get incarnation(): Incarnation | null {
    return this.record.incarnation;
  }

  /** Smoothed time from dispatch to answer, in milliseconds; assumed while no answer came. */
  get serviceMillis(): number {
    return this.#times.millis;
  }

  /** The same; `null` while no answer came. */
  get measuredMillis(): number | null {
    return this.#times.measuredMillis;
  }

  /** How long a request takes there that finds a free slot, in milliseconds; `null` while none was seen. */
  get unhinderedMillis(): number | null {
    return this.#times.unhinderedMillis;
  }

  /** Whether one more request would be worked on at once, as far as reported loads tell. */
  hasFreeSlot(now: number): boolean {
    return this.inFlight + this.load(now) < this.slotLimit.most;
  }

  /** Takes over a changed record. A new incarnation starts cold and with a clean sheet. */
  update(record: UpstreamRecord, now: number): void {
    const restarted = record.incarnation !== null && record.incarnation !== this.record.incarnation;
    if (restarted && this.record.incarnation !== null) {
      this.evidence.forget();
      this.ejection = new OutlierEjection();
      this.pausedUntil = Number.NEGATIVE_INFINITY;
      this.wasUnreachable = false;
      this.coldSince = now;
      this.#load.forget();
    }
    const isNews = record.revision !== this.record.revision;
    this.record = record;
    this.#judgeLeaving();
    if (isNews) {
      this.warmth.heard();
      this.hearWarmth(now);
    }
  }

  /** Its present run said this of itself, or nothing (`null`). */
  useNotices(notices: RunNotices | null): void {
    this.notices = notices;
    this.evidence.saysLeaving = notices?.isLeaving ?? false;
  }

  /** Whether what it said of itself lets this router send it one more request now, whatever it has room for. */
  admits(now: number): boolean {
    return this.notices === null || this.notices.admits(now);
  }

  /** When it may be sent something again, as far as pauses go. */
  get opensAt(): number {
    return Math.max(this.pausedUntil, this.notices?.rest.until ?? Number.NEGATIVE_INFINITY);
  }

  /** Whether it named a limit for all routers together. */
  get isLimited(): boolean {
    return this.notices?.limit.isInForce ?? false;
  }

  /** Whether it may be sent one more request of a rank now. `waitedShare`: how much of its wait is over, from 0 to 1. */
  hasSlot(now: number, rank: number, waitedShare = 0): boolean {
    if (now < this.pausedUntil || !this.admits(now)) {
      return false;
    }
    const above = this.rankRoom?.ranksAbove(rank, now) ?? 0;
    if (above > 0 && this.rankRoom?.admits(rank, above, waitedShare, this.#knownUse(now)) === false) {
      return false;
    }
    return this.isAnnounced ? hasRoom(this.#use(now)) : this.inFlight < this.slotLimit.slots;
  }

  /** Whether a slot is probably free there. */
  isClear(now: number): boolean {
    return this.rankRoom?.isClear(this.#knownUse(now)) ?? true;
  }

  /** Whether requests probably wait there. */
  isCrowded(now: number): boolean {
    return this.rankRoom?.isCrowded(this.#knownUse(now)) ?? false;
  }

  dispatched(): void {
    this.inFlight += 1;
  }

  /** An answer came after `tookMillis`; `load` is the outstanding work that it reported. */
  answered(tookMillis: number, load: number | null, now: number): void {
    this.#times.answered(tookMillis);
    // It is counted out by now, but was one of those that used the limit.
    this.slotLimit.answered(load, this.inFlight + 1, now);
    if (load !== null) {
      this.hintLoad(load, now);
    }
  }

  /** An attempt that found a free slot was answered. */
  answeredUnhindered(tookMillis: number): void {
    this.#times.answeredUnhindered(tookMillis);
  }

  /** Load from an answer or a probe. */
  hintLoad(load: number, now: number): void {
    this.rankRoom?.reported(load, this.slotLimit.most, now);
    this.#load.report(load, this.inFlight, this.slotLimit.most, now);
  }

  /** It turned work away for want of room; `load`: outstanding work there, `Infinity` if that isn't known. */
  refusedAsFull(load: number, now: number): void {
    this.rankRoom?.reported(load, this.slotLimit.most, now);
    this.#load.refusedAsFull(load, this.inFlight, this.slotLimit.most, now);
  }

  /** Milliseconds until it may have room for one more request, as far as others' load tells; 0 if it may now. */
  roomInMillis(now: number): number {
    const pause = Math.max(0, this.pausedUntil - now);
    if (!this.isAnnounced || this.inFlight > this.slotLimit.most) {
      return pause;
    }
    return Math.max(pause, this.#load.millisUntilBelow(mostForeignLoad(this.#use(now)), now));
  }

  /** No connection was made: it may have stopped, and be cold when it is back. */
  connectionFailed(now: number): void {
    this.evidence.connectionFailed(now);
    this.wasUnreachable = true;
  }

  succeeded(now: number): void {
    if (this.wasUnreachable) {
      this.wasUnreachable = false;
      this.coldSince = now;
    }
    this.warmth.succeeded(now);
    this.evidence.succeeded(now);
    this.ejection.succeeded(now);
  }

  /** Decayed outstanding work of others, in requests. */
  load(now: number): number {
    return this.#load.foreign(now);
  }

  /**
   * Estimated milliseconds until one more request would be done, were it served alone in turn. A cold upstream looks
   * dearer than it is, so it gets a growing part.
   */
  cost(now: number): number {
    const outstanding = this.inFlight + 1 + this.load(now);
    // Where turns are counted, the time of one must not hold the wait for others.
    const oneTurn = this.isAnnounced ? (this.unhinderedMillis ?? this.serviceMillis) : this.serviceMillis;
    const turns = this.isAnnounced ? this.turnsOf(outstanding) : outstanding;
    return (turns * oneTurn) / this.#slowStartShare(now);
  }

  /** It said itself how many requests it works on at once. */
  get isAnnounced(): boolean {
    return this.record.definition.announced !== undefined;
  }

  /** Times of service until so many requests are done: those in slots run side by side. Ties go to the less loaded. */
  private turnsOf(outstanding: number): number {
    const { most } = this.slotLimit;
    return Math.max(1, outstanding / most) + (TIE_SHARE * outstanding) / most;
  }

  #slowStartShare(now: number): number {
    const since = Math.max(this.coldSince, this.ejection.ejectedUntil);
    const share = (now - since) / SLOW_START_MILLIS;
    return Math.min(1, Math.max(SLOW_START_FLOOR, share));
  }

  #use(now: number): UpstreamUse {
    return { slots: this.slotLimit.most, inFlight: this.inFlight, foreignLoad: this.load(now) };
  }

  #knownUse(now: number): KnownUse {
    return { ...this.#use(now), freshness: this.#load.freshness(now) };
  }

  #judgeLeaving(): void {
    this.evidence.operatorLeaving = this.record.definition.leaving || this.#isEvacuated;
  }
}
