/** A rush before dawn: concurrent reads of menu sheets and diet cards alongside orders. */
import type { Experiment } from '../experiment.js';
import { runRushExperiment } from '../models/rush.js';

export const experiment: Experiment = {
  name: 'breakfast',
  summary: 'a rush on reads at 1x and 3x of capacity while orders go on',
  defaultDeployment: 'colombo',
  run: runRushExperiment,
};
