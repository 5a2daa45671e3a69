/**
 * Planned stops of routers with a short grace time, after which they are killed. Not among `FAULT_KINDS`, so that the runs of existing seeds
 * stay the same.
 */
import type { FaultKind } from './fault.js';
import { runningOf } from './hit-process.js';

/** Shorter than the time limits of the services. */
const GRACE_MILLIS = 2000;

export const KILLED_STOPS: readonly FaultKind[] = [
  {
    name: 'router-stop-with-kill',
    durationRange: [GRACE_MILLIS + 100, GRACE_MILLIS + 1000],
    inject(simulation, random) {
      const routers = runningOf(simulation.routers).filter((router) => !router.wasAskedToStop);
      if (routers.length === 0) {
        return null;
      }
      const router = random.pick(routers);
      router.stopByPlan(GRACE_MILLIS);
      return { detail: router.name, heal: () => router.startAfterStop() };
    },
  },
];
