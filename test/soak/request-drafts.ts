/** Draws what callers ask for: a mix of everything, work that takes seconds, or work whose time limit is short. */
import type { Random } from '../../src/dev/sim/random.js';

/** Time limit of the routes whose work takes seconds. */
export const LONG_TIMEOUT_MILLIS = 8700;
/** Time limit of the route whose work is short of time. */
export const BRIEF_TIMEOUT_MILLIS = 1000;

const KEYS = 65_536;
const MAX_BODY_BYTES = 3000;
const LONG_WORK_MILLIS = [50, 300, 1200, 2500, 4500] as const;
const LEAST_LONG_DEADLINE_MILLIS = 1000;
const BRIEF_WORK_MILLIS = [50, 880] as const;

export interface Wish {
  readonly isOrder: boolean;
  readonly prefix: string;
  readonly key: number | null;
  /** Bytes of the answer. */
  readonly bytes: number;
  readonly workMillis: number;
  readonly deadlineMillis: number;
  readonly bodyBytes: number;
}

/** What the answers of a caller's mixed requests take, and for how long it waits. */
export interface Demand {
  drawWorkMillis(random: Random): number;
  drawDeadlineMillis(random: Random): number;
}

export const SHORT_DEMAND: Demand = {
  drawWorkMillis: (random) => (random.chance(0.8) ? random.between(20, 200) : random.between(200, 1200)),
  drawDeadlineMillis: (random) => random.integer(500, 6000),
};

type Draw = (random: Random, wantsOrder: boolean | null, demand: Demand) => Wish;

export type DraftKind = 'mixed' | 'long' | 'brief';

export const DRAFTS: Readonly<Record<DraftKind, Draw>> = {
  mixed: drawMixed,
  long: drawLong,
  brief: drawBrief,
};

function drawMixed(random: Random, wantsOrder: boolean | null, demand: Demand): Wish {
  const isOrder = wantsOrder ?? random.chance(0.3);
  const key = !isOrder && random.chance(0.35) ? random.integer(0, KEYS - 1) : null;
  const bytes = Math.round(random.chance(0.85) ? random.between(200, 4000) : random.between(20_000, 300_000));
  const workMillis = Math.round(demand.drawWorkMillis(random));
  const deadlineMillis = demand.drawDeadlineMillis(random);
  const bodyBytes = isOrder ? random.integer(1, MAX_BODY_BYTES) : 0;
  const prefix = isOrder ? 'orders' : key === null ? 'reads' : 'seats';
  return { isOrder, prefix, key, bytes, workMillis, deadlineMillis, bodyBytes };
}

function drawLong(random: Random, wantsOrder: boolean | null): Wish {
  const isOrder = wantsOrder ?? true;
  return {
    isOrder,
    prefix: isOrder ? random.pick(['long', 'uneven']) : 'long-reads',
    key: null,
    bytes: random.integer(200, 4000),
    workMillis: random.pick(LONG_WORK_MILLIS),
    deadlineMillis: random.chance(0.7)
      ? LONG_TIMEOUT_MILLIS
      : random.integer(LEAST_LONG_DEADLINE_MILLIS, LONG_TIMEOUT_MILLIS),
    bodyBytes: isOrder ? random.integer(1, MAX_BODY_BYTES) : 0,
  };
}

function drawBrief(random: Random): Wish {
  return {
    isOrder: true,
    prefix: 'brief',
    key: null,
    bytes: random.integer(200, 4000),
    workMillis: random.integer(...BRIEF_WORK_MILLIS),
    deadlineMillis: BRIEF_TIMEOUT_MILLIS,
    bodyBytes: random.integer(1, MAX_BODY_BYTES),
  };
}
