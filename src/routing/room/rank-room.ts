/**
 * Room that less important work leaves to more important work at upstreams which all routers share. Routers don't talk to each other:
 * each knows what upstreams reported, and keeps below a limit that is lower the lower the rank. The longer a work has waited the higher
 * its limit, so that no slot stays free for long while something waits.
 *
 * Load answered: urgent requests of one router that stand behind less urgent ones of many others in an upstream's own queue.
 */
import type { RankPresence } from '../queue/rank-presence.js';
import { isOfHotKey } from './hot-keys.js';
import { ServedShares } from './served-shares.js';
import type { UpstreamUse } from './upstream-room.js';

/** Outstanding work, for each slot, below which the next rank goes at once: half the slots are left to those above it. */
const INITIAL_LOAD_LIMIT = 0.5;
/** The same at the end of its wait: it may queue at the upstream then, where those above it are few. */
const FINAL_LOAD_LIMIT = 1.25;
/** Each further rank has limits lower by this factor. */
const LIMIT_FACTOR_PER_RANK = 0.8;
/** Part of that rise for the surplus of a hot key: however long it has waited, there is more of it. */
const HOT_KEY_RAISE_SHARE = 1 / 3;
/** Outstanding work, for each slot, below which an upstream is clear: the most important go there first. */
const CLEAR_LOAD_LIMIT = 0.75;
/** Weight of a report in the usual load once there are many. */
const SMOOTHING = 0.1;
/** Load, for each slot, that is believed at most. */
const MOST_PER_SLOT = 4;
/**
 * Where nothing reports its load, what the most important meet stands for it: one late among twelve in time keeps it between the limits.
 */
const LATE_MEANS = { perSlot: 1.5, weight: 0.2 } as const;
const IN_TIME_MEANS = { perSlot: 0.3, weight: 0.03 } as const;

/** What a router knows of an upstream's load. */
export interface KnownUse extends UpstreamUse {
  /** Weight of what was reported there last, from 1 when it came to 0. */
  readonly freshness: number;
}

export class RankRoom {
  readonly shares = new ServedShares();
  /** Outstanding work for each slot, over all upstreams of the service, as reported lately. */
  #usualPerSlot = 0;
  #reports = 0;
  #learntAt: number | null = null;

  constructor(private readonly presence: RankPresence) {}

  /** Ranks above one that compete with it; where there is none, nothing is left free for others. */
  ranksAbove(rank: number, now: number): number {
    const above = this.presence.countAbove(rank, now);
    return isOfHotKey(rank) ? Math.max(1, above) : above;
  }

  /**
   * Whether room is left for one more request of a rank that so many others go before. `waitedShare`: how much of its wait is over, from
   * 0 to 1.
   */
  admits(rank: number, above: number, waitedShare: number, use: KnownUse): boolean {
    if (this.shares.isStarved(Math.floor(rank))) {
      return true;
    }
    const raisedBy = isOfHotKey(rank) ? HOT_KEY_RAISE_SHARE * waitedShare : waitedShare;
    const loadLimit =
      (INITIAL_LOAD_LIMIT + (FINAL_LOAD_LIMIT - INITIAL_LOAD_LIMIT) * raisedBy) *
      LIMIT_FACTOR_PER_RANK ** (above - 1);
    return this.#outstanding(use) < use.slots * loadLimit;
  }

  /** Whether an upstream probably has a slot free. */
  isClear(use: KnownUse): boolean {
    return this.#outstanding(use) < use.slots * CLEAR_LOAD_LIMIT;
  }

  /** Whether more is probably outstanding at an upstream than any work but the most important may add to. */
  isCrowded(use: KnownUse): boolean {
    return this.#outstanding(use) >= use.slots * FINAL_LOAD_LIMIT;
  }

  /** What is known of the usual load, and how long ago it was learnt. */
  known(now: number): { readonly usualLoad: number; readonly loadAgoMillis: number | null } {
    const loadAgoMillis = this.#learntAt === null ? null : Math.round(now - this.#learntAt);
    return { usualLoad: Math.round(this.#usualPerSlot * 100) / 100, loadAgoMillis };
  }

  /** An upstream reported its load. */
  reported(load: number, slots: number, now: number): void {
    this.#learntAt = now;
    this.#learn(Math.min(MOST_PER_SLOT, load / slots), SMOOTHING);
  }

  /** A request was answered by an upstream that reports no load. */
  answeredUnreported(rank: number, isInTime: boolean, now: number): void {
    if (this.presence.isMixed(now) && this.ranksAbove(rank, now) === 0) {
      const { perSlot, weight } = isInTime ? IN_TIME_MEANS : LATE_MEANS;
      this.#usualPerSlot += weight * (perSlot - this.#usualPerSlot);
    }
  }

  /** The first reports are averaged. */
  #learn(perSlot: number, weight: number): void {
    this.#reports += 1;
    this.#usualPerSlot += Math.max(1 / this.#reports, weight) * (perSlot - this.#usualPerSlot);
  }

  /** Outstanding requests there: of what was reported the less is believed the older it is, and in its place what is usual. */
  #outstanding({ slots, inFlight, foreignLoad, freshness }: KnownUse): number {
    const usualForeign = Math.max(0, this.#usualPerSlot * slots - inFlight);
    return inFlight + foreignLoad + (1 - freshness) * usualForeign;
  }
}
