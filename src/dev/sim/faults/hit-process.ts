/** Helpers of faults that affect one process. */
import type { Random } from '../random.js';
import type { SimProcess } from '../sim-process.js';
import type { InjectedFault } from './fault.js';

export function runningOf<Process extends SimProcess>(processes: readonly Process[]): Process[] {
  return processes.filter((process) => process.state === 'running');
}

export function pickRunning<Process extends SimProcess>(
  processes: readonly Process[],
  random: Random,
): Process | undefined {
  const candidates = runningOf(processes);
  return candidates.length === 0 ? undefined : random.pick(candidates);
}

/** Crashes the process. `silent`: the whole machine is lost. */
export function crash(process: SimProcess | undefined, silent: boolean): InjectedFault | null {
  if (process === undefined) {
    return null;
  }
  process.crash(silent);
  return { detail: `${process.name}${silent ? ' with its machine' : ''}`, heal: () => process.start() };
}

export function pause(process: SimProcess | undefined): InjectedFault | null {
  if (process === undefined) {
    return null;
  }
  process.pause();
  return { detail: process.name, heal: () => process.resume() };
}

/** Suspends the whole machine, which also stops its monotonic clock. */
export function suspend(process: SimProcess | undefined): InjectedFault | null {
  if (process === undefined) {
    return null;
  }
  process.suspend();
  return { detail: process.name, heal: () => process.resume() };
}
