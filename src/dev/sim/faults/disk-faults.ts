/** Disk faults: power loss before a sync, a lost data folder, and a second loss right after the repair of the first. */
import type { SimControl } from '../control/sim-control.js';
import type { Random } from '../random.js';
import type { Simulation } from '../simulation.js';
import type { FaultKind, InjectedFault } from './fault.js';

/** Downtime of a machine before its replacement starts. */
const REPLACEMENT_DELAY_MILLIS = 200;

/** Time for which a member is cut off before the others are lost. */
const CUT_OFF_MILLIS = 700;

/** Crashes a member's machine, empties its disk, and replaces its replica. */
export function loseDataFolder(simulation: Simulation, control: SimControl, repaired: () => void): void {
  const old = control.replica;
  control.losesPower = true;
  control.crash(true);
  control.loseDisk();
  simulation.time.after(REPLACEMENT_DELAY_MILLIS, () => {
    control.start();
    simulation.repair(old, control, repaired);
  });
}

/** Picks a member if all of them run; `undefined` otherwise, so that no more disks are lost than may be. */
export function pickIfAllRunning(simulation: Simulation, random: Random): SimControl | undefined {
  const candidates = simulation.controls.filter((control) => control.state === 'running');
  const isWhole = candidates.length === simulation.controls.length && !simulation.isRepairing;
  return isWhole ? random.pick(candidates) : undefined;
}

export const DISK_FAULTS: readonly FaultKind[] = [
  {
    name: 'power-loss',
    durationRange: [50, 1500],
    inject(simulation): InjectedFault {
      for (const control of simulation.controls) {
        control.losesPower = true;
        control.crash(true);
      }
      return {
        detail: 'all control members',
        heal: () => {
          for (const control of simulation.controls) {
            control.start();
          }
        },
      };
    },
  },
  {
    name: 'folder-gone',
    durationRange: [500, 1000],
    inject(simulation, random) {
      const control = pickIfAllRunning(simulation, random);
      if (control === undefined) {
        return null;
      }
      loseDataFolder(simulation, control, () => {});
      return { detail: control.name, heal: () => {} };
    },
  },
  {
    name: 'stale-majority',
    durationRange: [1500, 3500],
    inject(simulation, random) {
      const leader = simulation.leader();
      const victim = pickIfAllRunning(simulation, random);
      const behind = simulation.controls.find((control) => control !== leader && control !== victim);
      if (leader === undefined || victim === undefined || behind === undefined || victim === leader) {
        return null;
      }
      simulation.isRepairing = true;
      const cuts = [simulation.network.cut(behind.name, '*'), simulation.network.cut('*', behind.name)];
      simulation.time.after(CUT_OFF_MILLIS, () => {
        loseDataFolder(simulation, victim, () => {});
        leader.crash(true);
        for (const heal of cuts) {
          heal();
        }
      });
      return {
        detail: `${behind.name} behind, ${victim.name} empty, ${leader.name} down`,
        heal: () => leader.start(),
      };
    },
  },
  {
    name: 'second-loss',
    durationRange: [500, 1000],
    inject(simulation, random) {
      const first = pickIfAllRunning(simulation, random);
      if (first === undefined) {
        return null;
      }
      const second = random.pick(simulation.controls.filter((control) => control !== first));
      loseDataFolder(simulation, first, () => {
        if (!simulation.areFaultsOver) {
          simulation.recorder.count('second loss after a repair');
          loseDataFolder(simulation, second, () => {});
        }
      });
      return { detail: `${first.name}, then ${second.name}`, heal: () => {} };
    },
  },
];
