/** Plans moves of keys among their owners from two averages of the same loads, and weighs the moves if parameters are given. */
import type { KeyRange } from '../../model/key-range.js';
import { planFirstRanges } from './first-ranges.js';
import { HotKeyMoves } from './hot-key-moves.js';
import { KeyLoads } from './key-loads.js';
import { MoveWeigher } from './move-weigher.js';
import type { MoveCostParameters } from './move-worth.js';
import type { RangeServer } from './owner-loads.js';
import { type BalanceGoal, EVEN_GOAL, type PlannedSpan, planMoves, RELIEF_GOAL } from './range-planner.js';

/** Half-life of the loads that detect owners which have just become overloaded. */
const RECENT_HALF_LIFE_MILLIS = 700;

/** Input of a plan. */
export interface BalanceInput {
  readonly ranges: readonly KeyRange[];
  readonly servers: readonly RangeServer[];
  /** Spans without an owner, with their next owners. */
  readonly underWay: readonly PlannedSpan[];
  /** Parameters for weighing; `null` if moves aren't weighed. */
  readonly costParameters: MoveCostParameters | null;
}

export class BalancePlanner {
  readonly steady = new KeyLoads();
  /** The same loads with a short half-life: adjacent keys that have become hot must move before the steady loads show it. */
  readonly recent = new KeyLoads(RECENT_HALF_LIFE_MILLIS);
  readonly #hotKeys = new HotKeyMoves();
  readonly #searched = { spans: 0 };

  /** Number of spans compared in all plans. */
  get searchedSpans(): number {
    return this.#searched.spans;
  }

  /** Adds the work for a key since the last report, in milliseconds of the mean upstream's work. */
  add(key: number, workMillis: number, now: number): void {
    this.steady.add(key, workMillis, now);
    this.recent.add(key, workMillis, now);
  }

  /**
   * Plans moves from servers that are much busier than the others. First ranges for servers that own none have priority, then
   * the relief of servers that have just become overloaded.
   */
  plan({ ranges, servers, underWay, costParameters: terms }: BalanceInput): PlannedSpan[] {
    const first = planFirstRanges(ranges, this.steady, servers, underWay);
    if (first.length > 0) {
      return first;
    }
    this.#hotKeys.forgetCooled(this.recent);
    const weigher = terms === null ? null : new MoveWeigher(this, terms, this.#hotKeys);
    const planWith = (loads: KeyLoads, goal: BalanceGoal): PlannedSpan[] =>
      planMoves(ranges, loads, servers, goal, underWay, weigher, this.#searched);
    const relief = planWith(this.recent, RELIEF_GOAL);
    return relief.length > 0 ? relief : planWith(this.steady, EVEN_GOAL);
  }

  /** Records that a planned move has begun. */
  recordMove({ from, to, weighed }: PlannedSpan): void {
    if (weighed !== undefined && from === to) {
      this.#hotKeys.recordMove(from, this.recent.loadOf(from));
    }
  }
}
