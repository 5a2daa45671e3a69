/** Loads the experiments: each file in `experiments/` that exports an `experiment`. */
import { readdirSync } from 'node:fs';
import type { Experiment } from './experiment.js';

const FOLDER = new URL('./experiments/', import.meta.url);

/** Returns all experiments by name, sorted by name. */
export async function loadExperiments(): Promise<ReadonlyMap<string, Experiment>> {
  const files = readdirSync(FOLDER).filter((name) => name.endsWith('.js'));
  const experiments: Experiment[] = [];
  for (const file of files) {
    const module = (await import(new URL(file, FOLDER).href)) as { experiment?: Experiment };
    if (module.experiment !== undefined) {
      experiments.push(module.experiment);
    }
  }
  experiments.sort((left, right) => (left.name < right.name ? -1 : 1));
  return new Map(experiments.map((experiment) => [experiment.name, experiment]));
}
