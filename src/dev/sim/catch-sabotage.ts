/** Runs a sabotaged system seed after seed until the checker notices. */
import type { PromiseName } from '../checker/rule.js';
import { FAULT_KINDS } from './faults/fault-plan.js';
import { SABOTAGES, type SabotageName } from './sabotages.js';
import type { SimSizes } from './sim-sizes.js';
import { Simulation } from './simulation.js';

/** The first run that the checker found wrong. */
export interface CaughtSabotage {
  readonly seed: number;
  /** Promises that the run broke. */
  readonly promises: readonly PromiseName[];
  readonly message: string;
}

/** Gives the first seed from `first` to `last` that shows a sabotage, or `null` if none does. */
export function catchSabotage(
  name: SabotageName,
  sizes: SimSizes,
  first: number,
  last: number,
): CaughtSabotage | null {
  const wanted: readonly string[] = SABOTAGES[name].faults;
  const faults = FAULT_KINDS.filter((kind) => wanted.includes(kind.name));
  for (let seed = first; seed <= last; seed += 1) {
    const { violations } = new Simulation({ seed, sizes, faults, sabotage: name, trace: null }).run();
    if (violations.length > 0) {
      const promises = [...new Set(violations.map(({ promise }) => promise))];
      return { seed, promises, message: violations[0]?.message ?? '' };
    }
  }
  return null;
}
