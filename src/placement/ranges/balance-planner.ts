/** Plans moves of keys among their owners from two averages of the same loads, and weighs them where it is told on which terms. */
import type { KeyRange } from '../../model/key-range.js';
import { planFirstRanges } from './first-ranges.js';
import { HotKeyMoves } from './hot-key-moves.js';
import { KeyLoads } from './key-loads.js';
import { MoveWeighing } from './move-weighing.js';
import type { MoveTerms } from './move-worth.js';
import type { RangeServer } from './owner-loads.js';
import { EVEN_GOAL, type PlannedSpan, planMoves, RELIEF_GOAL } from './range-planner.js';

/** Half-life of the loads that tell of owners which were just overwhelmed. */
const RECENT_HALF_LIFE_MILLIS = 700;

/** What a plan is made for. */
export interface BalanceView {
  readonly ranges: readonly KeyRange[];
  readonly servers: readonly RangeServer[];
  /** Spans without owner, and who gets them next. */
  readonly underWay: readonly PlannedSpan[];
  /** `null`: moves aren't weighed. */
  readonly terms: MoveTerms | null;
}

export class BalancePlanner {
  readonly steady = new KeyLoads();
  /** The same over a short time: a run of keys that became hot must move before the steady loads show it. */
  readonly recent = new KeyLoads(RECENT_HALF_LIFE_MILLIS);
  readonly #hotKeys = new HotKeyMoves();

  /** Work of a key since the last report, in milliseconds, as the mean upstream takes it. */
  add(key: number, workMillis: number, now: number): void {
    this.steady.add(key, workMillis, now);
    this.recent.add(key, workMillis, now);
  }

  /**
   * Takes keys off servers that are much busier than the others; first for those that own none, then off those that were
   * just overwhelmed.
   */
  plan({ ranges, servers, underWay, terms }: BalanceView): PlannedSpan[] {
    const first = planFirstRanges(ranges, this.steady, servers, underWay);
    if (first.length > 0) {
      return first;
    }
    this.#hotKeys.follow(this.recent);
    const weighing = terms === null ? null : new MoveWeighing(this, terms, this.#hotKeys);
    const relief = planMoves(ranges, this.recent, servers, RELIEF_GOAL, underWay, weighing);
    return relief.length > 0
      ? relief
      : planMoves(ranges, this.steady, servers, EVEN_GOAL, underWay, weighing);
  }

  /** A planned move begins. */
  began({ from, to, weighed }: PlannedSpan): void {
    if (weighed !== undefined && from === to) {
      this.#hotKeys.moved(from, this.recent.of(from));
    }
  }
}
