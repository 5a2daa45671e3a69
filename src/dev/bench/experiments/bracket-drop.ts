/** The rush at a set minute: seat maps and listings are read at once while checkouts go on. */
import type { Experiment } from '../experiment.js';
import { runRushExperiment } from '../models/rush.js';

export const experiment: Experiment = {
  name: 'bracket-drop',
  summary: 'a rush on reads at 1x and 3x of capacity while checkouts go on',
  defaultDeployment: 'recife',
  run: runRushExperiment,
};
