/**
 * Headroom that less important requests leave to more important ones at upstreams shared by all routers. Routers don't communicate with
 * each other: each estimates the load from the upstreams' reports and stays below a limit that is lower for less important ranks. The
 * limit rises with the time that a request group has waited, so that no slot stays idle for long while something is waiting.
 *
 * Guards against loads in which urgent requests of one router wait behind less urgent requests of many other routers in an upstream's own
 * queue.
 */
import type { RankPresence } from '../queue/rank-presence.js';
import { isHotKeyRank } from './hot-keys.js';
import { ServedShares } from './served-shares.js';
import type { UpstreamUse } from './upstream-capacity.js';

/** Outstanding requests per slot below which the next rank is sent at once: half the slots are left to more important ranks. */
const INITIAL_LOAD_LIMIT = 0.5;
/** The same limit at the end of a group's wait: it may then queue at the upstream, where few more important requests are. */
const FINAL_LOAD_LIMIT = 1.25;
/** The limit of each further rank is that of the rank before it times this factor. */
const LIMIT_FACTOR_PER_RANK = 0.8;
/**
 * For the surplus of a hot key, the limit rises only by this share of the difference between those two: however long its requests have
 * waited, more of them follow.
 */
const HOT_KEY_RAISE_SHARE = 1 / 3;
/** Outstanding requests per slot below which an upstream is clear: the most important requests go there first. */
const CLEAR_LOAD_LIMIT = 0.75;
/** Weight of a report in the mean load once many reports were received. */
const SMOOTHING = 0.1;
/** Reported loads per slot are capped at this value. */
const MAX_LOAD_PER_SLOT = 4;
/**
 * Where no upstream reports its load, each answer to a most important request counts as a load sample, by whether it was in time: with
 * one late answer for each twelve in time, the mean stays between the limits.
 */
const LATE_ANSWER_SAMPLE = { perSlot: 1.5, weight: 0.2 } as const;
const IN_TIME_ANSWER_SAMPLE = { perSlot: 0.3, weight: 0.03 } as const;

/** A router's estimate of an upstream's load. */
export interface EstimatedUse extends UpstreamUse {
  /** Weight of the last report from there, falling from 1 to 0 with its age. */
  readonly freshness: number;
}

export class RankHeadroom {
  readonly shares = new ServedShares();
  /** Mean outstanding requests per slot over all upstreams of the service, from recent reports. */
  #meanPerSlot = 0;
  #reports = 0;
  #reportedAt: number | null = null;

  constructor(private readonly presence: RankPresence) {}

  /** Returns the number of more important ranks that compete with `rank`; if it is 0, no headroom is needed. */
  ranksAbove(rank: number, now: number): number {
    const above = this.presence.countAbove(rank, now);
    return isHotKeyRank(rank) ? Math.max(1, above) : above;
  }

  /**
   * Whether there is capacity for one more request of `rank` with `above` more important ranks. `waitedShare`: the part of its wait that
   * is over, from 0 to 1.
   */
  admits(rank: number, above: number, waitedShare: number, use: EstimatedUse): boolean {
    if (this.shares.isStarved(Math.floor(rank))) {
      return true;
    }
    const raiseShare = isHotKeyRank(rank) ? HOT_KEY_RAISE_SHARE * waitedShare : waitedShare;
    const loadLimit =
      (INITIAL_LOAD_LIMIT + (FINAL_LOAD_LIMIT - INITIAL_LOAD_LIMIT) * raiseShare) *
      LIMIT_FACTOR_PER_RANK ** (above - 1);
    return this.#outstanding(use) < use.slots * loadLimit;
  }

  /** Whether an upstream probably has a free slot. */
  isClear(use: EstimatedUse): boolean {
    return this.#outstanding(use) < use.slots * CLEAR_LOAD_LIMIT;
  }

  /** Whether an upstream probably has more outstanding requests than any rank but the most important may add to. */
  isCrowded(use: EstimatedUse): boolean {
    return this.#outstanding(use) >= use.slots * FINAL_LOAD_LIMIT;
  }

  /** Returns the mean load and the time since the last report. */
  loadFacts(now: number): { readonly usualLoad: number; readonly loadAgoMillis: number | null } {
    const loadAgoMillis = this.#reportedAt === null ? null : Math.round(now - this.#reportedAt);
    return { usualLoad: Math.round(this.#meanPerSlot * 100) / 100, loadAgoMillis };
  }

  /** Records a load report of an upstream. */
  onLoadReport(load: number, slots: number, now: number): void {
    this.#reportedAt = now;
    this.#updateMean(Math.min(MAX_LOAD_PER_SLOT, load / slots), SMOOTHING);
  }

  /** Records an answer of an upstream that reports no load. */
  onAnswerWithoutLoad(rank: number, isInTime: boolean, now: number): void {
    if (this.presence.isMixed(now) && this.ranksAbove(rank, now) === 0) {
      const { perSlot, weight } = isInTime ? IN_TIME_ANSWER_SAMPLE : LATE_ANSWER_SAMPLE;
      this.#meanPerSlot += weight * (perSlot - this.#meanPerSlot);
    }
  }

  /** Updates the mean load; the first reports are averaged with equal weights. */
  #updateMean(perSlot: number, weight: number): void {
    this.#reports += 1;
    this.#meanPerSlot += Math.max(1 / this.#reports, weight) * (perSlot - this.#meanPerSlot);
  }

  /** Estimates the outstanding requests at an upstream: the older its report, the more the mean load replaces the reported one. */
  #outstanding({ slots, inFlight, foreignLoad, freshness }: EstimatedUse): number {
    const meanForeign = Math.max(0, this.#meanPerSlot * slots - inFlight);
    return inFlight + foreignLoad + (1 - freshness) * meanForeign;
  }
}
