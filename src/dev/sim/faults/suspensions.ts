/**
 * Machines that are suspended for seconds, as by a host that moves them: they stand still and don't notice, since their monotonic clocks
 * stand still as well. Not among `FAULT_KINDS`, so that what a seed means there stays.
 */
import type { FaultKind } from './fault.js';
import { pickRunning, running, suspend } from './hit-process.js';

export const SUSPENSIONS: readonly FaultKind[] = [
  {
    name: 'owner-suspended',
    lasts: [1600, 5000],
    inject(simulation, random) {
      const owners = running(simulation.upstreams).filter((upstream) => upstream.grantedShards().length > 0);
      return owners.length === 0 ? null : suspend(random.pick(owners));
    },
  },
  {
    name: 'router-suspended',
    lasts: [1600, 5000],
    inject: (simulation, random) => suspend(pickRunning(simulation.routers, random)),
  },
  {
    name: 'control-suspended',
    lasts: [500, 5000],
    inject: (simulation, random) => suspend(pickRunning(simulation.controls, random)),
  },
  {
    name: 'leader-suspended',
    lasts: [500, 5000],
    inject: (simulation) => suspend(simulation.leader()),
  },
];
