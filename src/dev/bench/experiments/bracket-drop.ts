/** A rush at a scheduled minute: concurrent reads of seat maps and listings alongside checkouts. */
import type { Experiment } from '../experiment.js';
import { runRushExperiment } from '../models/rush.js';

export const experiment: Experiment = {
  name: 'bracket-drop',
  summary: 'a rush on reads at 1x and 3x of capacity while checkouts go on',
  defaultDeployment: 'recife',
  run: runRushExperiment,
};
