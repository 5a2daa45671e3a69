/** Planned stops of routers, the leader and servers. */
import type { FaultKind } from './fault.js';
import { pickRunning } from './hit-process.js';

export const PLANNED_STOPS: readonly FaultKind[] = [
  {
    name: 'planned-router-stop',
    durationRange: [1700, 4000],
    inject(simulation, random) {
      const router = pickRunning(simulation.routers, random);
      if (router === undefined || router.isStopping) {
        return null;
      }
      router.stopByPlan();
      return { detail: router.name, heal: () => router.startAfterStop() };
    },
  },
  {
    name: 'planned-leader-stop',
    durationRange: [500, 2500],
    inject(simulation) {
      const leader = simulation.leader();
      if (leader === undefined) {
        return null;
      }
      leader.stopByPlan();
      return { detail: leader.name, heal: () => leader.startAfterStop() };
    },
  },
  {
    name: 'planned-upstream-stop',
    durationRange: [5000, 8000],
    inject(simulation, random) {
      const upstream = pickRunning(simulation.upstreams, random);
      if (upstream === undefined || upstream.isStopping) {
        return null;
      }
      simulation.stopUpstream(upstream);
      return { detail: upstream.name, heal: () => simulation.returnUpstream(upstream) };
    },
  },
];
