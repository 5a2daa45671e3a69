/** The rush before dawn: menu sheets and diet cards are read at once while orders go on. */
import type { Experiment } from '../experiment.js';
import { runRushExperiment } from '../models/rush.js';

export const experiment: Experiment = {
  name: 'breakfast',
  summary: 'a rush on reads at 1x and 3x of capacity while orders go on',
  defaultDeployment: 'colombo',
  run: runRushExperiment,
};
