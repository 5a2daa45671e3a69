/** Helpers of faults that hit one process. */
import type { Random } from '../random.js';
import type { SimProcess } from '../sim-process.js';
import type { InjectedFault } from './fault.js';

export function running<Process extends SimProcess>(processes: readonly Process[]): Process[] {
  return processes.filter((process) => process.state === 'running');
}

export function pickRunning<Process extends SimProcess>(
  processes: readonly Process[],
  random: Random,
): Process | undefined {
  const candidates = running(processes);
  return candidates.length === 0 ? undefined : random.pick(candidates);
}

/** `silent`: the whole machine is lost. */
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

/** Its whole machine stands still, and its monotonic clock with it. */
export function suspend(process: SimProcess | undefined): InjectedFault | null {
  if (process === undefined) {
    return null;
  }
  process.suspend();
  return { detail: process.name, heal: () => process.resume() };
}
