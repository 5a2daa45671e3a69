/** `ternmount-dev bench [EXPERIMENT] [--deployment D] [--seed S] [--seeds N] [--out DIR]`. */
import { existsSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import type { CAC } from 'cac';
import { TernmountError } from '../../errors/ternmount-error.js';
import { loadDeployment } from '../../settings/deployment.js';
import type { Experiment } from '../bench/experiment.js';
import { loadExperiments } from '../bench/load-experiments.js';
import { writeReport } from '../bench/report/write-report.js';
import type { DevCommand } from './dev-command.js';

const DEFAULT_SEEDS = 5;
const DEFAULT_FOLDER = 'build/bench';
/** Relative to `build/src/dev/commands`. */
const DEPLOYMENTS = new URL('../../../../deployments/', import.meta.url);

interface BenchOptions {
  readonly deployment?: string;
  readonly seed: number;
  readonly seeds: number;
  readonly out: string;
}

/** There is no experiment of this name. */
class UnknownExperimentError extends TernmountError {
  constructor(name: string, known: Iterable<string>) {
    const message = `unknown experiment ${name}: expected one of ${[...known].join(', ')}`;
    super({ code: 'TERNMOUNT_UNKNOWN_EXPERIMENT', retriable: false }, message);
  }
}

/** Path of a deployment file, given as a path or as the name of a deployment of the project. */
function deploymentPath(given: string): string {
  return existsSync(given) ? given : fileURLToPath(new URL(`${given}.yaml`, DEPLOYMENTS));
}

function listExperiments(experiments: ReadonlyMap<string, Experiment>): void {
  for (const { name, summary, defaultDeployment } of experiments.values()) {
    process.stdout.write(`${name.padEnd(18)} ${summary} (${defaultDeployment})\n`);
  }
}

async function runExperiment(experiment: Experiment, options: BenchOptions): Promise<void> {
  const deployment = loadDeployment(deploymentPath(options.deployment ?? experiment.defaultDeployment));
  const seeds = Array.from({ length: options.seeds }, (_, index) => options.seed + index);
  const progress = (message: string): void => {
    process.stderr.write(`${message}\n`);
  };
  const result = await experiment.run({ deployment, seeds, progress });
  const { name, summary } = experiment;
  const head = { experiment: name, summary, deployment: deployment.name, seeds };
  process.stdout.write(await writeReport(options.out, head, result));
}

async function bench(name: string | undefined, options: BenchOptions): Promise<void> {
  const experiments = await loadExperiments();
  if (name === undefined) {
    listExperiments(experiments);
    return;
  }
  const experiment = experiments.get(name);
  if (experiment === undefined) {
    throw new UnknownExperimentError(name, experiments.keys());
  }
  await runExperiment(experiment, options);
}

export const command: DevCommand = {
  register(cli: CAC): void {
    cli
      .command('bench [experiment]', 'Run an experiment of the bench; without a name, list the experiments')
      .option('--deployment <file>', "Deployment file or name; default: the experiment's own")
      .option('--seed <number>', 'First seed', { default: 1 })
      .option('--seeds <number>', 'Number of seeds', { default: DEFAULT_SEEDS })
      .option('--out <folder>', 'Folder for the table, JSON and SVG', { default: DEFAULT_FOLDER })
      .action((experiment: string | undefined, options: BenchOptions) => bench(experiment, options));
  },
};
