/** All kinds of faults, and the plan of one run: which faults begin when, often overlapping. */
import type { Random } from '../random.js';
import { DISK_FAULTS } from './disk-faults.js';
import type { FaultKind } from './fault.js';
import { NETWORK_FAULTS } from './network-faults.js';
import { PLANNED_STOPS } from './planned-stops.js';
import { AWAY_THROUGH_CHANGES, OPERATOR_RACE, PROCESS_FAULTS } from './process-faults.js';
import { LOSS_IN_CALM, MISLEADING_FAULTS, UPSTREAM_FAULTS } from './upstream-faults.js';

/** Seeds depend on the order, so new kinds are appended. */
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

const MIN_FAULTS = 2;
const MAX_FAULTS = 6;
/** Share of faults that begin shortly after the previous one, and the maximum delay between the two. */
const OVERLAP_SHARE = 0.5;
const MAX_OVERLAP_DELAY_MILLIS = 400;
/** Share of runs that begin with the loss of an owner and the leader, and the time without other faults that follows. */
const LOSS_IN_CALM_SHARE = 0.2;
const LOSS_IN_CALM_MILLIS = 3300;

export interface PlannedFault {
  readonly kind: FaultKind;
  /** Milliseconds since the start of the fault window. */
  readonly at: number;
  readonly durationMillis: number;
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
  const lossInCalm = kinds.find(({ name }) => name === LOSS_IN_CALM);
  if (lossInCalm === undefined || !random.chance(LOSS_IN_CALM_SHARE)) {
    return drawFaults(kinds, 0, windowMillis, random);
  }
  const first = { kind: lossInCalm, at: 0, durationMillis: LOSS_IN_CALM_MILLIS };
  return [first, ...drawFaults(kinds, LOSS_IN_CALM_MILLIS, windowMillis, random)];
}

function drawFaults(
  kinds: readonly FaultKind[],
  from: number,
  windowMillis: number,
  random: Random,
): PlannedFault[] {
  const plan: PlannedFault[] = [];
  const count = random.integer(MIN_FAULTS, MAX_FAULTS);
  let last = from;
  for (let number = 0; number < count; number += 1) {
    const kind = random.pick(kinds);
    const isOverlapping = number > 0 && random.chance(OVERLAP_SHARE);
    const at = isOverlapping
      ? last + random.between(0, MAX_OVERLAP_DELAY_MILLIS)
      : random.between(from, windowMillis);
    last = Math.min(at, windowMillis);
    plan.push({ kind, at: last, durationMillis: random.between(...kind.durationRange) });
  }
  return plan;
}
