/** `ternmount-dev sim --seeds A..B`: runs the system's cores under faults, one run per seed, and checks the promises. */
import { createWriteStream } from 'node:fs';
import type { CAC } from 'cac';
import { TernmountError } from '../../errors/ternmount-error.js';
import { loadDeployment } from '../../settings/deployment.js';
import { ownEntry } from '../../text/own-entry.js';
import { catchSabotage } from '../sim/catch-sabotage.js';
import type { FaultKind } from '../sim/faults/fault.js';
import { FAULT_KINDS } from '../sim/faults/fault-plan.js';
import { SABOTAGE_NAMES, SABOTAGES, type SabotageName } from '../sim/sabotages.js';
import { SimReport } from '../sim/sim-report.js';
import { shrinkDeployment } from '../sim/sim-sizes.js';
import { Simulation } from '../sim/simulation.js';
import type { DevCommand } from './dev-command.js';

const EXIT_VIOLATION = 1;
const ALL_SABOTAGES = 'all';
const NO_FAULTS = 'none';
const DEFAULT_SEEDS = '1..20';
const DEFAULT_DEPLOYMENT = 'colombo';
const DEPLOYMENTS_FOLDER = new URL('../../../../deployments/', import.meta.url);
const SEEDS_PATTERN = /^(\d+)(?:\.\.(\d+))?$/;

interface SimFlags {
  readonly seeds: string;
  readonly deployment: string;
  readonly faults?: string;
  readonly sabotage?: string;
  readonly listSabotages?: boolean;
  readonly listFaults?: boolean;
  readonly trace?: string;
}

/** The value of a flag is invalid. */
class SimFlagError extends TernmountError {
  constructor(message: string) {
    super({ code: 'TERNMOUNT_SIM_FLAG', retriable: false }, message);
  }
}

function readSeeds(text: string): readonly [number, number] {
  const match = SEEDS_PATTERN.exec(text);
  if (match === null) {
    throw new SimFlagError(`--seeds: expected A..B or one number, not ${text}`);
  }
  const first = Number(match[1]);
  return [first, Number(match[2] ?? first)];
}

function readFaults(text: string | undefined): readonly FaultKind[] {
  if (text === undefined) {
    return FAULT_KINDS;
  }
  if (text === NO_FAULTS) {
    return [];
  }
  return text
    .split(',')
    .filter(Boolean)
    .map((name) => {
      const kind = FAULT_KINDS.find((candidate) => candidate.name === name);
      if (kind === undefined) {
        throw new SimFlagError(`--faults: unknown fault ${name}; --list-faults names them all`);
      }
      return kind;
    });
}

function readSabotage(name: string | undefined): SabotageName | null {
  if (name === undefined) {
    return null;
  }
  if (ownEntry(SABOTAGES, name) === undefined) {
    throw new SimFlagError(`--sabotage: unknown sabotage ${name}; --list-sabotages names them all`);
  }
  return name as SabotageName;
}

/** Path of a deployment file, given as a path or as the name of a deployment of the project. */
function deploymentPath(text: string): string {
  return text.includes('.') || text.includes('/')
    ? text
    : new URL(`${text}.yaml`, DEPLOYMENTS_FOLDER).pathname;
}

function listSabotages(): void {
  for (const name of SABOTAGE_NAMES) {
    const { promise, description } = SABOTAGES[name];
    process.stdout.write(`${name}\t${promise}\t${description}\n`);
  }
}

/** Finds the first seed that detects each sabotage; sets a failing exit status if one isn't detected. */
function catchAll(flags: SimFlags): void {
  const [first, last] = readSeeds(String(flags.seeds));
  const sizes = shrinkDeployment(loadDeployment(deploymentPath(flags.deployment)));
  for (const name of SABOTAGE_NAMES) {
    const caught = catchSabotage(name, sizes, first, last);
    const verdict =
      caught === null ? 'NOT CAUGHT' : `seed ${caught.seed}\t${caught.promise}\t${caught.message}`;
    process.stdout.write(`${name}\t${verdict}\n`);
    process.exitCode = caught === null ? EXIT_VIOLATION : process.exitCode;
  }
}

function runSeeds(flags: SimFlags): void {
  const [first, last] = readSeeds(String(flags.seeds));
  const sizes = shrinkDeployment(loadDeployment(deploymentPath(flags.deployment)));
  const faults = readFaults(flags.faults);
  const sabotage = readSabotage(flags.sabotage);
  const traceFile = flags.trace === undefined ? null : createWriteStream(flags.trace);
  const trace = traceFile === null ? null : (line: string) => void traceFile.write(`${line}\n`);
  const report = new SimReport(sizes.name);
  for (let seed = first; seed <= last; seed += 1) {
    report.add(new Simulation({ seed, sizes, faults, sabotage, trace }).run());
  }
  process.stdout.write(report.text());
  traceFile?.end();
  process.exitCode = report.violations === 0 ? 0 : EXIT_VIOLATION;
}

export const command: DevCommand = {
  register(cli: CAC): void {
    cli
      .command('sim', 'Run the system’s cores under simulated faults and check the promises')
      .option('--seeds <range>', 'Seeds, A..B or a single one', { default: DEFAULT_SEEDS })
      .option('--deployment <name>', 'Name of a deployment of the project, or a file', {
        default: DEFAULT_DEPLOYMENT,
      })
      .option('--faults <list>', 'Kinds of faults, comma-separated (default: all; none: none)')
      .option('--sabotage <name>', 'Disable a mechanism on purpose; all: each in turn, until it is detected')
      .option('--list-sabotages', 'Name all sabotages and the promise that each breaks')
      .option('--list-faults', 'Name all kinds of faults')
      .option('--trace <file>', 'Write each event as a JSON line')
      .action((flags: SimFlags) => {
        if (flags.listSabotages) {
          listSabotages();
        } else if (flags.listFaults) {
          process.stdout.write(`${FAULT_KINDS.map(({ name }) => name).join('\n')}\n`);
        } else if (flags.sabotage === ALL_SABOTAGES) {
          catchAll(flags);
        } else {
          runSeeds(flags);
        }
      });
  },
};
