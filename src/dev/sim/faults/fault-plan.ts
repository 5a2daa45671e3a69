/** All kinds of faults, and the plan of one run: which ones come when, often two at a time. */
import type { Random } from '../random.js';
import { DISK_FAULTS } from './disk-faults.js';
import type { FaultKind } from './fault.js';
import { NETWORK_FAULTS } from './network-faults.js';
import { PLANNED_STOPS } from './planned-stops.js';
import { AWAY_THROUGH_CHANGES, OPERATOR_RACE, PROCESS_FAULTS } from './process-faults.js';
import { LOSS_IN_CALM, MISLEADING_FAULTS, UPSTREAM_FAULTS } from './upstream-faults.js';

/** The order is part of what a seed means: new kinds go to the end. */
export const FAULT_KINDS: readonly FaultKind[] = [
  ...NETWORK_FAULTS,
  ...PROCESS_FAULTS,
  ...UPSTREAM_FAULTS,
  AWAY_THROUGH_CHANGES,
  ...PLANNED_STOPS,
  ...MISLEADING_FAULTS,
  OPERATOR_RACE,
  ...DISK_FAULTS,
];

const FEWEST_FAULTS = 2;
const MOST_FAULTS = 6;
/** Share of faults that come right after the one before, while it lasts. */
const TOGETHER_SHARE = 0.5;
const TOGETHER_MILLIS = 400;
/** Share of runs that begin with the loss of an owner and the leader, and how long nothing else happens then. */
const LOSS_IN_CALM_SHARE = 0.2;
const LOSS_IN_CALM_MILLIS = 3300;

export interface PlannedFault {
  readonly kind: FaultKind;
  /** Since the faults begin. */
  readonly at: number;
  readonly lasts: number;
}

/** Draws the faults of a run that begin within `windowMillis`. */
export function planFaults(
  kinds: readonly FaultKind[],
  windowMillis: number,
  random: Random,
): PlannedFault[] {
  if (kinds.length === 0) {
    return [];
  }
  const alone = kinds.find(({ name }) => name === LOSS_IN_CALM);
  if (alone === undefined || !random.chance(LOSS_IN_CALM_SHARE)) {
    return drawFaults(kinds, 0, windowMillis, random);
  }
  const first = { kind: alone, at: 0, lasts: LOSS_IN_CALM_MILLIS };
  return [first, ...drawFaults(kinds, LOSS_IN_CALM_MILLIS, windowMillis, random)];
}

function drawFaults(
  kinds: readonly FaultKind[],
  from: number,
  windowMillis: number,
  random: Random,
): PlannedFault[] {
  const plan: PlannedFault[] = [];
  const count = random.integer(FEWEST_FAULTS, MOST_FAULTS);
  let last = from;
  for (let number = 0; number < count; number += 1) {
    const kind = random.pick(kinds);
    const isTogether = number > 0 && random.chance(TOGETHER_SHARE);
    const at = isTogether ? last + random.between(0, TOGETHER_MILLIS) : random.between(from, windowMillis);
    last = Math.min(at, windowMillis);
    plan.push({ kind, at: last, lasts: random.between(...kind.lasts) });
  }
  return plan;
}
