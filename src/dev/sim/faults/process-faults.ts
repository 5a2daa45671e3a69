/** Faults of the system's own processes: crashes, pauses, absence through many changes; and operators that race. */
import type { FaultKind } from './fault.js';
import { crash, pause, pickRunning } from './hit-process.js';

/** Changes that are made while a member is away. */
const CHANGES_MISSED = 260;

export const PROCESS_FAULTS: readonly FaultKind[] = [
  {
    name: 'control-crash',
    lasts: [50, 5000],
    inject: (simulation, random) => crash(pickRunning(simulation.controls, random), random.chance(0.5)),
  },
  {
    name: 'leader-crash',
    lasts: [50, 4000],
    inject: (simulation, random) => crash(simulation.leader(), random.chance(0.5)),
  },
  {
    name: 'control-pause',
    lasts: [200, 6000],
    inject: (simulation, random) => pause(pickRunning(simulation.controls, random)),
  },
  {
    name: 'leader-pause',
    lasts: [200, 6000],
    inject: (simulation) => pause(simulation.leader()),
  },
  {
    name: 'router-crash',
    lasts: [50, 3000],
    inject: (simulation, random) => crash(pickRunning(simulation.routers, random), random.chance(0.5)),
  },
  {
    name: 'router-pause',
    lasts: [200, 5000],
    inject: (simulation, random) => pause(pickRunning(simulation.routers, random)),
  },
];

export const AWAY_THROUGH_CHANGES: FaultKind = {
  name: 'away-through-changes',
  lasts: [8000, 9000],
  inject(simulation, random) {
    const away = pickRunning(simulation.controls, random);
    const router = pickRunning(simulation.routers, random);
    if (away === undefined || router === undefined) {
      return null;
    }
    away.crash(true);
    router.pause();
    simulation.firstOperator().burst(CHANGES_MISSED);
    return {
      detail: `${away.name} and ${router.name}`,
      heal: () => {
        away.start();
        router.resume();
      },
    };
  },
};

export const OPERATOR_RACE: FaultKind = {
  name: 'operator-race',
  lasts: [10, 20],
  inject(simulation) {
    simulation.raceOperators();
    return { detail: 'all operators', heal: () => {} };
  },
};
