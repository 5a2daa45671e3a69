/** Faults of the system's own processes: crashes, pauses, absence during many changes; and racing operators. */
import type { FaultKind } from './fault.js';
import { crash, pause, pickRunning } from './hit-process.js';

/** Number of changes made while a member is down. */
const MISSED_CHANGES = 260;

export const PROCESS_FAULTS: readonly FaultKind[] = [
  {
    name: 'control-crash',
    durationRange: [50, 5000],
    inject: (simulation, random) => crash(pickRunning(simulation.controls, random), random.chance(0.5)),
  },
  {
    name: 'leader-crash',
    durationRange: [50, 4000],
    inject: (simulation, random) => crash(simulation.leader(), random.chance(0.5)),
  },
  {
    name: 'control-pause',
    durationRange: [200, 6000],
    inject: (simulation, random) => pause(pickRunning(simulation.controls, random)),
  },
  {
    name: 'leader-pause',
    durationRange: [200, 6000],
    inject: (simulation) => pause(simulation.leader()),
  },
  {
    name: 'router-crash',
    durationRange: [50, 3000],
    inject: (simulation, random) => crash(pickRunning(simulation.routers, random), random.chance(0.5)),
  },
  {
    name: 'router-pause',
    durationRange: [200, 5000],
    inject: (simulation, random) => pause(pickRunning(simulation.routers, random)),
  },
];

export const AWAY_THROUGH_CHANGES: FaultKind = {
  name: 'away-through-changes',
  durationRange: [8000, 9000],
  inject(simulation, random) {
    const away = pickRunning(simulation.controls, random);
    const router = pickRunning(simulation.routers, random);
    if (away === undefined || router === undefined) {
      return null;
    }
    away.crash(true);
    router.pause();
    simulation.firstOperator().burst(MISSED_CHANGES);
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
  durationRange: [10, 20],
  inject(simulation) {
    simulation.raceOperators();
    return { detail: 'all operators', heal: () => {} };
  },
};
