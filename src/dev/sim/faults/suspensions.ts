/**
 * Machines that are suspended for seconds, as during a live migration. Their processes can't detect it on the monotonic clock, which
 * stops as well. Not among `FAULT_KINDS`, so that the runs of existing seeds stay the same.
 */
import type { FaultKind } from './fault.js';
import { pickRunning, runningOf, suspend } from './hit-process.js';

export const SUSPENSIONS: readonly FaultKind[] = [
  {
    name: 'owner-suspended',
    durationRange: [1600, 5000],
    inject(simulation, random) {
      const owners = runningOf(simulation.upstreams).filter(
        (upstream) => upstream.grantedShards().length > 0,
      );
      return owners.length === 0 ? null : suspend(random.pick(owners));
    },
  },
  {
    name: 'router-suspended',
    durationRange: [1600, 5000],
    inject: (simulation, random) => suspend(pickRunning(simulation.routers, random)),
  },
  {
    name: 'control-suspended',
    durationRange: [500, 5000],
    inject: (simulation, random) => suspend(pickRunning(simulation.controls, random)),
  },
  {
    name: 'leader-suspended',
    durationRange: [500, 5000],
    inject: (simulation) => suspend(simulation.leader()),
  },
];
