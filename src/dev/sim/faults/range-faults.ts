/** Faults of servers that hold ranges of keys. Not among `FAULT_KINDS`, so that the runs of existing seeds stay the same. */
import type { FaultKind } from './fault.js';
import { pause, pickRunning } from './hit-process.js';

export const RANGE_FAULTS: readonly FaultKind[] = [
  {
    name: 'range-server-crash',
    durationRange: [50, 5000],
    inject(simulation, random) {
      const server = pickRunning(simulation.rangeServers, random);
      if (server === undefined) {
        return null;
      }
      server.crash();
      server.isSilent = random.chance(0.5);
      return { detail: server.name, heal: () => server.start() };
    },
  },
  {
    name: 'range-server-freeze',
    durationRange: [200, 6000],
    inject: (simulation, random) => pause(pickRunning(simulation.rangeServers, random)),
  },
  {
    name: 'range-server-cut',
    durationRange: [500, 9000],
    inject(simulation, random) {
      const server = pickRunning(simulation.rangeServers, random);
      if (server === undefined) {
        return null;
      }
      const { network, controls } = simulation;
      const heals = controls.flatMap(({ name }) => [
        network.cut(name, server.name),
        network.cut(server.name, name),
      ]);
      return {
        detail: server.name,
        heal: () => {
          for (const heal of heals) {
            heal();
          }
        },
      };
    },
  },
  {
    name: 'range-server-leaves',
    durationRange: [1000, 4000],
    inject(simulation, random) {
      const server = pickRunning(simulation.rangeServers, random);
      if (server === undefined) {
        return null;
      }
      server.isLeaving = true;
      return {
        detail: server.name,
        heal: () => {
          server.crash();
          server.start();
        },
      };
    },
  },
];
