/**
 * One control member loses its disk while all other machines lose power, routers included. Not among `FAULT_KINDS`, so that the runs of
 * existing seeds stay the same.
 */
import { loseDataFolder, pickIfAllRunning } from './disk-faults.js';
import type { FaultKind } from './fault.js';

export const FINAL_LOSSES: readonly FaultKind[] = [
  {
    name: 'folder-gone-and-power-off',
    durationRange: [50, 1500],
    inject(simulation, random) {
      const victim = pickIfAllRunning(simulation, random);
      if (victim === undefined) {
        return null;
      }
      const others = simulation.controls.filter((control) => control !== victim);
      for (const control of others) {
        control.losesPower = true;
        control.crash(true);
      }
      for (const router of simulation.routers) {
        router.crash(true);
      }
      loseDataFolder(simulation, victim, () => {});
      return {
        detail: `${victim.name} empty, all others without power`,
        heal: () => {
          for (const process of [...others, ...simulation.routers]) {
            process.start();
          }
        },
      };
    },
  },
];
