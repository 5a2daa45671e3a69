/** Runs a fleet: start, load, faults, stop, evaluation. */
import { setMaxListeners } from 'node:events';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { machineMillis } from '../journal/machine-clock.js';
import type { FaultLog } from './faults/fault-log.js';
import { FaultRunner } from './faults/fault-runner.js';
import { Fleet } from './fleet.js';
import type { FleetOptions } from './fleet-options.js';
import { ChangeMaker } from './observe/change-maker.js';
import { DeclaredChangeMaker } from './observe/declared-change-maker.js';
import { OwnershipSampler } from './observe/ownership-sampler.js';
import { Progress } from './observe/progress.js';
import { type FleetReport, makeReport } from './report/fleet-report.js';

/** Writes one human-readable line. */
export type WriteLine = (line: string) => void;

/** Additional actions on the fleet during the load, besides the scheduled faults. */
export type ExtraWork = (fleet: Fleet, faults: FaultRunner) => Promise<void>;

/** Returns a function that formats the faults applied since its last call, for the progress line. */
function newFaultsFormatter(log: FaultLog): () => string {
  let shown = 0;
  return () => {
    const fresh = log.done.slice(shown);
    shown = log.done.length;
    return fresh.map(({ fault, target }) => `  [${fault.type} ${target}]`).join('');
  };
}

/** Runs the load and its faults on a started fleet. */
async function loadFleet(fleet: Fleet, write: WriteLine, extra: ExtraWork | undefined) {
  const faults = new FaultRunner(fleet);
  const sampler = new OwnershipSampler(fleet.admin);
  const changes = fleet.options.declared ? new DeclaredChangeMaker(fleet) : new ChangeMaker(fleet);
  const progress = new Progress(fleet, write, newFaultsFormatter(faults.log));
  sampler.start();
  await fleet.startCallers();
  const startedAt = machineMillis();
  changes.start();
  progress.start(startedAt);
  try {
    const tasks = [
      faults.run(fleet.options.faults, startedAt),
      extra?.(fleet, faults),
      fleet.waitForCallers(),
    ];
    await Promise.all(tasks);
  } finally {
    progress.stop();
    await changes.stop();
    await sampler.stop();
    await faults.log.close();
  }
  const { done, ownerLosses } = faults.log;
  return { faults: done, ownerLosses, samples: sampler.samples };
}

/** Kills all processes of the fleet when this process exits; returns a function that removes the handler. */
function killAllOnExit(fleet: Fleet): () => void {
  const killAll = (): void => fleet.supervisor.killAllNow();
  process.once('exit', killAll);
  return () => process.off('exit', killAll);
}

/** Runs a fleet from start to end. Stops every process, also if it throws; `signal` ends the run early. */
export async function runFleet(
  options: FleetOptions,
  signal: AbortSignal,
  write: WriteLine,
  extra?: ExtraWork,
): Promise<FleetReport> {
  const aborter = new AbortController();
  const untilOver = AbortSignal.any([signal, aborter.signal]);
  // Each wait of a run listens to it.
  setMaxListeners(0, untilOver);
  const fleet = new Fleet(options, untilOver);
  const removeExitHandler = killAllOnExit(fleet);
  let observed: Awaited<ReturnType<typeof loadFleet>>;
  let unexpectedEnds: readonly string[];
  try {
    const startedAt = machineMillis();
    await fleet.start();
    const millis = Math.round(machineMillis() - startedAt);
    write(`${fleet.supervisor.count} processes are up after ${millis} ms; the load begins`);
    observed = await loadFleet(fleet, write, extra);
    unexpectedEnds = [...fleet.supervisor.unexpectedEnds];
  } finally {
    // A fault that is under way must start no process any more.
    aborter.abort();
    await fleet.stop();
    removeExitHandler();
  }
  const report = makeReport({ options: fleet.options, plan: fleet.plan, unexpectedEnds, ...observed });
  writeFileSync(join(options.folder, 'report.json'), `${JSON.stringify(report, null, 2)}\n`);
  return report;
}
