/** Weighs planned moves by the age of their keys' load, and accepts only moves that gain more than they cost. */

import { heatAgeMillis, remainingMillis } from './heat-age.js';
import { HotKeyMoves } from './hot-key-moves.js';
import type { KeyLoads } from './key-loads.js';
import { isWorthwhile, type MoveCostParameters, type MoveWorth, worthOf } from './move-worth.js';
import type { OwnerLoads, RangeServer } from './owner-loads.js';
import type { PlannedSpan } from './range-planner.js';

/**
 * The owners that are measured as the busiest and the least busy are so partly by chance, so their loads are corrected towards
 * each other by this many standard deviations of the measurement.
 */
const ERROR_DEVIATIONS = 1.5;
const MILLIS_PER_SECOND = 1000;

/** Cost and gain of a weighed move. */
export interface WeighedSpan extends MoveWorth {
  /** Time for which the load of its keys has lasted. */
  readonly heatMillis: number;
}

/** Source and target of a move, with the loads of the plan. */
export interface MoveSides {
  readonly from: RangeServer;
  readonly to: RangeServer;
  readonly use: OwnerLoads;
  /** Loads that the plan is based on. */
  readonly loads: KeyLoads;
}

/** Averages of the same load with a short and a long half-life. */
export interface LoadAverages {
  readonly recent: KeyLoads;
  readonly steady: KeyLoads;
}

export class MoveWeigher {
  readonly #averages: LoadAverages;
  readonly #parameters: MoveCostParameters;
  readonly #hotKeys: HotKeyMoves;

  constructor(
    averages: LoadAverages,
    parameters: MoveCostParameters,
    hotKeys: HotKeyMoves = new HotKeyMoves(),
  ) {
    this.#averages = averages;
    this.#parameters = parameters;
    this.#hotKeys = hotKeys;
  }

  /** Returns whether an oversized key has already moved during its present heat. */
  hasMoved(key: number): boolean {
    return this.#hotKeys.hasMoved(key);
  }

  /** Returns the move with its cost and gain; `undefined` if it costs more than it gains. */
  weigh(move: PlannedSpan, { from, to, use, loads }: MoveSides): PlannedSpan | undefined {
    const { recent, steady } = this.#averages;
    const seen = { recent: recent.loadOfSpan(move), steady: steady.loadOfSpan(move) };
    const halfLives = { recentMillis: recent.halfLifeMillis, steadyMillis: steady.halfLifeMillis };
    const heatMillis = heatAgeMillis(seen, halfLives);
    // The average with the long half-life still includes load that has ended, and moving that load gains nothing.
    const load = Math.min(loads.loadOfSpan(move), seen.recent);
    const fromLoad = use.loadOf(from.upstream);
    const toLoad = use.loadOf(to.upstream);
    const weighed = {
      from,
      // The plan excludes a key's load beyond its owner's capacity; it counts here, since another owner may serve more of it.
      fromLoad: Math.max(load, fromLoad - this.#randomErrorOf(fromLoad, loads)),
      to,
      toLoad: toLoad + this.#randomErrorOf(toLoad, loads),
      load,
      remainingMillis: remainingMillis(heatMillis),
    };
    const worth = worthOf(weighed, this.#parameters);
    return isWorthwhile(worth) ? { ...move, weighed: { ...worth, heatMillis } } : undefined;
  }

  /** Returns the random error of a measured load: randomly arriving requests are effectively counted over two mean lifetimes of their weights. */
  #randomErrorOf(load: number, { halfLifeMillis }: KeyLoads): number {
    const countedSeconds = (2 * halfLifeMillis) / Math.LN2 / MILLIS_PER_SECOND;
    const deviation = Math.sqrt((Math.max(0, load) * this.#parameters.workMillis) / countedSeconds);
    return deviation * ERROR_DEVIATIONS;
  }
}
