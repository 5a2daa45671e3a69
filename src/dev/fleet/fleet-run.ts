/** One run of a fleet: start, load, faults, stop, judgement. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { machineMillis } from '../journal/machine-clock.js';
import type { FaultLog } from './faults/fault-log.js';
import { FaultRunner } from './faults/fault-runner.js';
import { Fleet } from './fleet.js';
import type { FleetOptions } from './fleet-options.js';
import { ChangeMaker } from './observe/change-maker.js';
import { OwnershipSampler } from './observe/ownership-sampler.js';
import { Progress } from './observe/progress.js';
import { type FleetReport, makeReport } from './report/fleet-report.js';

/** Writes one line for people. */
export type WriteLine = (line: string) => void;

/** What is done to the fleet while the load runs, beside the scheduled faults. */
export type ExtraWork = (fleet: Fleet, faults: FaultRunner) => Promise<void>;

/** Faults of a run as they come up, for the progress line. */
function newFaults(log: FaultLog): () => string {
  let shown = 0;
  return () => {
    const fresh = log.done.slice(shown);
    shown = log.done.length;
    return fresh.map(({ fault, target }) => `  [${fault.type} ${target}]`).join('');
  };
}

/** Runs the load with its faults on a fleet that is up. */
async function loadFleet(fleet: Fleet, write: WriteLine, extra: ExtraWork | undefined) {
  const faults = new FaultRunner(fleet);
  const sampler = new OwnershipSampler(fleet.admin);
  const changes = new ChangeMaker(fleet);
  const progress = new Progress(fleet, write, newFaults(faults.log));
  sampler.start();
  await fleet.startCallers();
  const startedAt = machineMillis();
  changes.start();
  progress.start(startedAt);
  try {
    const work = [
      faults.run(fleet.options.faults, startedAt),
      extra?.(fleet, faults),
      fleet.waitForCallers(),
    ];
    await Promise.all(work);
  } finally {
    progress.stop();
    await changes.stop();
    await sampler.stop();
    await faults.log.close();
  }
  const { done, ownerLosses } = faults.log;
  return { faults: done, ownerLosses, samples: sampler.samples };
}

/** Stops what runs whenever this process ends, so that none is left behind. */
function guardExit(fleet: Fleet): () => void {
  const killAll = (): void => fleet.supervisor.killAllNow();
  process.once('exit', killAll);
  return () => process.off('exit', killAll);
}

/** Runs a fleet from start to end. Every process is stopped, also if it throws; `signal` ends it early. */
export async function runFleet(
  options: FleetOptions,
  signal: AbortSignal,
  write: WriteLine,
  extra?: ExtraWork,
): Promise<FleetReport> {
  const fleet = new Fleet(options, signal);
  const unguard = guardExit(fleet);
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
    await fleet.stop();
    unguard();
  }
  const report = makeReport({ options, plan: fleet.plan, unexpectedEnds, ...observed });
  writeFileSync(join(options.folder, 'report.json'), `${JSON.stringify(report, null, 2)}\n`);
  return report;
}
