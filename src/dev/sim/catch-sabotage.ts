/** Runs a sabotaged system with one seed after another until the checker reports a violation. */
import type { PromiseName } from '../checker/rule.js';
import { DISKS_IN_SERIES } from './faults/disks-in-series.js';
import { FAULT_KINDS } from './faults/fault-plan.js';
import { KILLED_STOPS } from './faults/killed-stops.js';
import { LOST_PATHS } from './faults/lost-paths.js';
import { RANGE_FAULTS } from './faults/range-faults.js';
import { REPEATED_ANSWERS } from './faults/repeated-answers.js';
import { SUSPENSIONS } from './faults/suspensions.js';
import { SABOTAGES, type Sabotage, type SabotageName } from './sabotages.js';
import type { SimSizes } from './sim-sizes.js';
import { Simulation } from './simulation.js';

/** The first run in which the checker found a violation of the promise that the sabotage breaks. */
export interface CaughtSabotage {
  readonly seed: number;
  readonly promise: PromiseName;
  readonly message: string;
}

/** Returns the first seed from `first` to `last` whose run violates the sabotage's promise, or `null` if there is none. */
export function catchSabotage(
  name: SabotageName,
  sizes: SimSizes,
  first: number,
  last: number,
): CaughtSabotage | null {
  const {
    promise,
    faults: wanted,
    crashingRequests = 0,
    lateCallers = 0,
    evacuations = 0,
    needs = 0,
    redeclarations = 0,
    rangeLosses = 0,
    relays = false,
    sharedIds = false,
    replaceAfterMillis = 0,
    faultPhaseMillis,
  }: Sabotage = SABOTAGES[name];
  const faults = [
    ...FAULT_KINDS,
    ...SUSPENSIONS,
    ...LOST_PATHS,
    ...RANGE_FAULTS,
    ...REPEATED_ANSWERS,
    ...KILLED_STOPS,
    ...DISKS_IN_SERIES,
  ].filter((kind) => wanted.includes(kind.name));
  for (let seed = first; seed <= last; seed += 1) {
    const { violations } = new Simulation({
      seed,
      sizes,
      faults,
      crashingRequests,
      lateCallers,
      evacuations,
      needs,
      redeclarations,
      rangeLosses,
      relays,
      sharedIds,
      replaceAfterMillis,
      ...(faultPhaseMillis !== undefined && { faultPhaseMillis }),
      sabotage: name,
      trace: null,
    }).run();
    const violation = violations.find((candidate) => candidate.promise === promise);
    if (violation !== undefined) {
      return { seed, promise, message: violation.message };
    }
  }
  return null;
}
