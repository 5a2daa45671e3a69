/** Faults of disks: power lost before a sync, folders gone, and a second one gone right after the repair of the first. */
import type { SimControl } from '../control/sim-control.js';
import type { Random } from '../random.js';
import type { Simulation } from '../simulation.js';
import type { FaultKind, InjectedFault } from './fault.js';

/** How long a machine is down before its replacement starts. */
const RETURN_MILLIS = 200;

/** How long a member is cut off before the others are lost. */
const BEHIND_MILLIS = 700;

/** Takes a member's machine down, empties its disk, and has the new replica put in its place. */
function loseFolder(simulation: Simulation, control: SimControl, repaired: () => void): void {
  const old = control.replica;
  control.losesPower = true;
  control.crash(true);
  control.loseDisk();
  simulation.time.after(RETURN_MILLIS, () => {
    control.start();
    simulation.repair(old, control, repaired);
  });
}

function pickWhole(simulation: Simulation, random: Random): SimControl | undefined {
  const candidates = simulation.controls.filter((control) => control.state === 'running');
  const isWhole = candidates.length === simulation.controls.length && !simulation.isRepairing;
  return isWhole ? random.pick(candidates) : undefined;
}

export const DISK_FAULTS: readonly FaultKind[] = [
  {
    name: 'power-loss',
    lasts: [50, 1500],
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
    lasts: [500, 1000],
    inject(simulation, random) {
      const control = pickWhole(simulation, random);
      if (control === undefined) {
        return null;
      }
      loseFolder(simulation, control, () => {});
      return { detail: control.name, heal: () => {} };
    },
  },
  {
    name: 'stale-majority',
    lasts: [1500, 3500],
    inject(simulation, random) {
      const leader = simulation.leader();
      const victim = pickWhole(simulation, random);
      const behind = simulation.controls.find((control) => control !== leader && control !== victim);
      if (leader === undefined || victim === undefined || behind === undefined || victim === leader) {
        return null;
      }
      simulation.isRepairing = true;
      const cuts = [simulation.network.cut(behind.name, '*'), simulation.network.cut('*', behind.name)];
      simulation.time.after(BEHIND_MILLIS, () => {
        loseFolder(simulation, victim, () => {});
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
    lasts: [500, 1000],
    inject(simulation, random) {
      const first = pickWhole(simulation, random);
      if (first === undefined) {
        return null;
      }
      const second = random.pick(simulation.controls.filter((control) => control !== first));
      loseFolder(simulation, first, () => {
        if (!simulation.areFaultsOver) {
          simulation.recorder.count('second loss after a repair');
          loseFolder(simulation, second, () => {});
        }
      });
      return { detail: `${first.name}, then ${second.name}`, heal: () => {} };
    },
  },
];
