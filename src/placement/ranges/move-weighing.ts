/** Weighs planned moves by how long the load of their keys has lasted, and keeps only those that gain more than they cost. */

import { heatAgeMillis, remainingMillis } from './heat-age.js';
import { HotKeyMoves } from './hot-key-moves.js';
import type { KeyLoads } from './key-loads.js';
import { isWorthwhile, type MoveTerms, type MoveWorth, worthOf } from './move-worth.js';
import type { OwnerLoads, RangeServer } from './owner-loads.js';
import type { PlannedSpan } from './range-planner.js';

/**
 * Owners that look the busiest and the least busy are partly so by chance, so that each counts as less so by this many standard
 * deviations of what was counted.
 */
const CHANCE_DEVIATIONS = 1.5;
const MILLIS_PER_SECOND = 1000;

/** What a move was weighed to cost and gain. */
export interface WeighedSpan extends MoveWorth {
  /** For how long the load of its keys has lasted, in milliseconds. */
  readonly heatMillis: number;
}

/** A move's two sides as the plan sees them. */
export interface MoveSides {
  readonly from: RangeServer;
  readonly to: RangeServer;
  readonly use: OwnerLoads;
  /** Loads that the plan goes by. */
  readonly loads: KeyLoads;
}

/** The same load over a short and over a longer time. */
export interface LoadAverages {
  readonly recent: KeyLoads;
  readonly steady: KeyLoads;
}

export class MoveWeighing {
  readonly #averages: LoadAverages;
  readonly #terms: MoveTerms;
  readonly #hotKeys: HotKeyMoves;

  constructor(averages: LoadAverages, terms: MoveTerms, hotKeys: HotKeyMoves = new HotKeyMoves()) {
    this.#averages = averages;
    this.#terms = terms;
    this.#hotKeys = hotKeys;
  }

  /** Whether a key that no owner bears was moved already while it is that hot. */
  hasMoved(key: number): boolean {
    return this.#hotKeys.has(key);
  }

  /** The move with what it was weighed to be worth; `undefined`: it isn't worth its cost. */
  weigh(move: PlannedSpan, { from, to, use, loads }: MoveSides): PlannedSpan | undefined {
    const { recent, steady } = this.#averages;
    const seen = { recent: recent.ofSpan(move), steady: steady.ofSpan(move) };
    const halfLives = { recentMillis: recent.halfLifeMillis, steadyMillis: steady.halfLifeMillis };
    const heatMillis = heatAgeMillis(seen, halfLives);
    // What an average over a longer time still shows of a load that has gone gains nothing.
    const load = Math.min(loads.ofSpan(move), seen.recent);
    const fromLoad = use.of(from.upstream);
    const toLoad = use.of(to.upstream);
    const weighed = {
      from,
      // The plan leaves out what a key asks beyond its owner; it counts here, since another owner may bear more of it.
      fromLoad: Math.max(load, fromLoad - this.#chanceOf(fromLoad, loads)),
      to,
      toLoad: toLoad + this.#chanceOf(toLoad, loads),
      load,
      remainingMillis: remainingMillis(heatMillis),
    };
    const worth = worthOf(weighed, this.#terms);
    return isWorthwhile(worth) ? { ...move, weighed: { ...worth, heatMillis } } : undefined;
  }

  /** How far a measured load may be off by chance: requests that come by chance are counted over two mean lives of their weights. */
  #chanceOf(load: number, { halfLifeMillis }: KeyLoads): number {
    const countedSeconds = (2 * halfLifeMillis) / Math.LN2 / MILLIS_PER_SECOND;
    const deviation = Math.sqrt((Math.max(0, load) * this.#terms.workMillis) / countedSeconds);
    return deviation * CHANCE_DEVIATIONS;
  }
}
