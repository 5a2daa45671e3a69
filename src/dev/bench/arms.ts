/** Runs the arms of an experiment over all seeds and collects their readings. */
import type { ArmResult, ExperimentContext, Measure, TargetResult } from './experiment.js';
import { formatSpread } from './report/table.js';
import { spreadOf } from './statistics.js';

/** One quantity of one run. */
export interface Reading {
  readonly name: string;
  readonly unit: string;
  readonly value: number;
}

/** One variant that an experiment compares, run once for each seed. */
export interface Arm {
  readonly name: string;
  readonly baseline: boolean;
  run(seed: number): Reading[];
}

export function reading(name: string, unit: string, value: number): Reading {
  return { name, unit, value };
}

/** Groups the readings of several runs by name. */
export function gather(runs: readonly Reading[][]): Measure[] {
  const measures = new Map<string, { name: string; unit: string; values: number[] }>();
  for (const { name, unit, value } of runs.flat()) {
    const measure = measures.get(name) ?? { name, unit, values: [] };
    measure.values.push(value);
    measures.set(name, measure);
  }
  return [...measures.values()];
}

export function runArms(context: ExperimentContext, arms: readonly Arm[]): ArmResult[] {
  return arms.map((arm) => {
    const runs = context.seeds.map((seed) => {
      const startedAt = performance.now();
      const readings = arm.run(seed);
      context.progress(`${arm.name}, seed ${seed}: ${Math.round(performance.now() - startedAt)} ms`);
      return readings;
    });
    return { arm: arm.name, baseline: arm.baseline, measures: gather(runs) };
  });
}

/** Returns the values of a measure of an arm, one for each seed; empty if the arm lacks the measure. */
export function valuesOf(results: readonly ArmResult[], arm: string, measure: string): readonly number[] {
  const found = results.find((result) => result.arm === arm);
  return found?.measures.find(({ name }) => name === measure)?.values ?? [];
}

/** Returns, for each seed, a measure of `arm` divided by the same measure of `toArm`. */
export function ratiosOf(
  results: readonly ArmResult[],
  measure: string,
  arm: string,
  toArm: string,
): number[] {
  const below = valuesOf(results, toArm, measure);
  return valuesOf(results, arm, measure).map((value, index) => value / (below[index] ?? Number.NaN));
}

/** Evaluates a target for the median of the values. */
export function target(
  name: string,
  values: readonly number[],
  comparison: '>=' | '<=',
  bound: number,
  unit = '',
): TargetResult {
  const { median } = spreadOf(values);
  return {
    target: name,
    wanted: `${comparison} ${bound}${unit === '' ? '' : ` ${unit}`}`,
    reached: formatSpread(values),
    met: comparison === '>=' ? median >= bound : median <= bound,
  };
}

/** Evaluates a target for every seed: the highest value must be at most `bound`. */
export function targetForAll(name: string, values: readonly number[], bound: number): TargetResult {
  const { highest } = spreadOf(values);
  return {
    target: `${name}, every seed`,
    wanted: `<= ${bound}`,
    reached: formatSpread(values),
    met: highest <= bound,
  };
}
