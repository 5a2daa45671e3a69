/** `ternmount-dev fleet` and `ternmount-dev demo`: a fleet of real processes under load, with faults. */
import { existsSync, mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { CAC } from 'cac';
import { loadDeployment } from '../../settings/deployment.js';
import { parseFaults } from '../fleet/fault-schedule.js';
import { runEach } from '../fleet/fault-table.js';
import { killOwners, secondsForKills } from '../fleet/faults/kill-owners.js';
import { FLEET_DEFAULTS, type FleetOptions } from '../fleet/fleet-options.js';
import { runFleet } from '../fleet/fleet-run.js';
import { NAMED_FAULTS, type NamedFault } from '../fleet/named-faults.js';
import { reserveNetwork } from '../fleet/network-reservation.js';
import { type FleetReport, isGood } from '../fleet/report/fleet-report.js';
import { formatReport } from '../fleet/report/report-text.js';
import type { DevCommand } from './dev-command.js';

const DEPLOYMENTS_FOLDER = fileURLToPath(new URL('../../../../deployments/', import.meta.url));
/** Faults of `demo`. */
const DEMO_FAULTS = 'kill:owner@5+4,kill:leader@11+3,drain:owner@13+5';
const EXIT_FAILED = 1;
const EXIT_INTERRUPTED = 130;

/** Options as parsed from the command line. */
interface FleetFlags {
  readonly deployment: string;
  readonly seconds: string;
  readonly faults: string;
  readonly rateScale: string;
  readonly network: string;
  readonly profile?: string;
  readonly kills: string;
  readonly pipelining: string;
  readonly leaving: string;
  readonly speeds: string;
  readonly seed: string;
  readonly keep?: string;
  readonly listFaults?: boolean;
  readonly declared?: boolean;
  readonly ownProcesses?: string;
  readonly routers: string;
  readonly randomFaults?: boolean;
  readonly each?: boolean;
}

/** Path of a deployment file, given as a path or as the name of a deployment of the project. */
function deploymentPath(name: string): string {
  const known = join(DEPLOYMENTS_FOLDER, `${name}.yaml`);
  return existsSync(known) ? known : name;
}

function readOptions(flags: FleetFlags, folder: string, network: number): FleetOptions {
  const seconds = Math.max(Number(flags.seconds), secondsForKills(Number(flags.kills)));
  return {
    ...FLEET_DEFAULTS,
    deployment: loadDeployment(deploymentPath(flags.deployment)),
    seconds,
    faults: parseFaults(flags.faults, seconds),
    folder,
    rateScale: Number(flags.rateScale),
    seed: Number(flags.seed),
    network,
    pipelining: Number(flags.pipelining),
    leaveShare: Number(flags.leaving),
    speeds: String(flags.speeds).split(',').map(Number),
    profileFolder: flags.profile ?? null,
    declared: flags.declared ?? false,
    routersPerZone: Number(flags.routers),
    ...(flags.ownProcesses !== undefined && { ownProcesses: ownProcesses(Number(flags.ownProcesses)) }),
    randomFaults: flags.randomFaults ?? false,
  };
}

function ownProcesses(count: number): FleetOptions['ownProcesses'] {
  return { keyed: count, unkeyed: count };
}

/** Returns a signal that is aborted on SIGINT, SIGTERM or SIGHUP. */
function stopSignal(): AbortSignal {
  const aborter = new AbortController();
  for (const name of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
    process.on(name, () => aborter.abort(new Error(`stopped by ${name}`)));
  }
  return aborter.signal;
}

function write(line: string): void {
  process.stdout.write(`${line}\n`);
}

function listFaults(): void {
  for (const [name, { summary }] of Object.entries(NAMED_FAULTS)) {
    write(`${name.padEnd(24)}${summary}`);
  }
}

/** Runs one fleet from start to end; `verbose` prints its progress and its report. */
async function runOnce(flags: FleetFlags, signal: AbortSignal, verbose: boolean): Promise<FleetReport> {
  const reservation = await reserveNetwork(Number(flags.network));
  const folder = flags.keep ?? mkdtempSync(join(tmpdir(), 'ternmount-fleet-'));
  const show = verbose ? write : () => {};
  let good = false;
  try {
    const options = readOptions(flags, folder, reservation.network);
    const kills = Number(flags.kills);
    const extra = kills > 0 ? killOwners(kills, show) : undefined;
    const report = await runFleet(options, signal, show, extra);
    good = isGood(report);
    show(`\n${formatReport(report)}`);
    return report;
  } finally {
    await reservation.release();
    if (good && flags.keep === undefined) {
      rmSync(folder, { recursive: true });
    } else {
      write(`journals and logs: ${folder}`);
    }
  }
}

/** Names of the faults that a fleet can have. */
function namedFaults(isDeclared: boolean): string[] {
  const isPossible = ([, { needsDeclared }]: [string, NamedFault]): boolean => isDeclared || !needsDeclared;
  return Object.entries(NAMED_FAULTS)
    .filter(isPossible)
    .map(([name]) => name);
}

/** Runs each fault of `--faults`, or each named fault if there are none, in a separate fleet. */
function runFaults(flags: FleetFlags, signal: AbortSignal): Promise<boolean> {
  const requested = flags.faults.split(',').filter((fault) => fault !== '');
  const faults = requested.length > 0 ? requested : namedFaults(flags.declared === true);
  const runOne = (fault: string): Promise<FleetReport> => {
    const keep = flags.keep === undefined ? {} : { keep: join(flags.keep, fault) };
    return runOnce({ ...flags, ...keep, faults: fault }, signal, false);
  };
  return runEach(faults, runOne, signal, write);
}

/** Sets the exit status: 0 only if every promise held and the run provided enough evidence. */
async function run(flags: FleetFlags): Promise<void> {
  if (flags.listFaults) {
    listFaults();
    return;
  }
  const signal = stopSignal();
  try {
    const good = flags.each ? await runFaults(flags, signal) : isGood(await runOnce(flags, signal, true));
    process.exitCode = good ? 0 : EXIT_FAILED;
  } catch (thrown) {
    if (!signal.aborted) {
      throw thrown;
    }
    write('interrupted; every process was stopped');
    process.exitCode = EXIT_INTERRUPTED;
  }
}

function register(cli: CAC, name: string, summary: string, faults: string): void {
  cli
    .command(name, summary)
    .option('--deployment <name>', 'colombo, recife or a file', { default: 'colombo' })
    .option('--seconds <number>', 'Duration of the load', { default: FLEET_DEFAULTS.seconds })
    .option('--faults <list>', 'Faults by name or as TYPE:TARGET@T+D, comma-separated', { default: faults })
    .option('--each', 'Run each fault of the list (default: every named fault) in a separate fleet')
    .option('--list-faults', 'List the named faults')
    .option('--rate-scale <number>', "Fraction of the deployment's request rate", {
      default: FLEET_DEFAULTS.rateScale,
    })
    .option('--network <number>', 'Second octet of the 127.x addresses; the next free one is used', {
      default: FLEET_DEFAULTS.network,
    })
    .option('--kills <number>', 'Kill an owner this many times in succession under load', {
      default: 0,
    })
    .option('--pipelining <number>', 'Reads that half of the callers pipeline on a connection', {
      default: FLEET_DEFAULTS.pipelining,
    })
    .option('--leaving <share>', 'Share of the reads whose caller disconnects before the answer', {
      default: FLEET_DEFAULTS.leaveShare,
    })
    .option(
      '--speeds <list>',
      "Speed factors of a service's upstreams, assigned cyclically, comma-separated",
      {
        default: FLEET_DEFAULTS.speeds.join(','),
      },
    )
    .option('--declared', 'Send requests by declared routes to upstreams that announce themselves')
    .option(
      '--random-faults',
      'Draw faults of processes, connections and answers from the seed; needs --declared',
    )
    .option('--own-processes <number>', 'Upstreams of each service with processes of their own')
    .option('--routers <number>', 'Routers of each zone', { default: FLEET_DEFAULTS.routersPerZone })
    .option('--profile <folder>', 'Write a CPU profile of each process here')
    .option('--seed <number>', 'Seed of the load', { default: FLEET_DEFAULTS.seed })
    .option('--keep <folder>', 'Keep journals, logs and data here')
    .action(run);
}

export const command: DevCommand = {
  register(cli: CAC): void {
    register(cli, 'fleet', 'Run a fleet of real processes under load, with faults', '');
    register(
      cli,
      'demo',
      'Run the load, kill an owner and the control leader, check the promises',
      DEMO_FAULTS,
    );
  },
};
