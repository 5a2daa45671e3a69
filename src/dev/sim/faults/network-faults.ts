/** Network faults: cuts of zones and processes, in one or both directions, and loss, duplication or delay of messages. */
import type { NetworkDisturbances } from '../network.js';
import type { Random } from '../random.js';
import type { Simulation } from '../simulation.js';
import type { FaultKind, InjectedFault } from './fault.js';

/** Blocks both directions between two ends. */
function cutBoth(simulation: Simulation, one: string, other: string): () => void {
  const heals = [simulation.network.cut(one, other), simulation.network.cut(other, one)];
  return () => {
    for (const heal of heals) {
      heal();
    }
  };
}

function pickZonePair(simulation: Simulation, random: Random): readonly [string, string] {
  const [one, other] = random.shuffle(simulation.sizes.zones) as [string, string];
  return [one, other];
}

function isolate(simulation: Simulation, name: string): InjectedFault {
  return { detail: name, heal: cutBoth(simulation, name, '*') };
}

function disturb(simulation: Simulation, change: Partial<NetworkDisturbances>): InjectedFault {
  Object.assign(simulation.network.disturbances, change);
  return {
    detail: JSON.stringify(change),
    heal: () => {
      for (const name of Object.keys(change) as (keyof NetworkDisturbances)[]) {
        simulation.network.disturbances[name] = 0;
      }
    },
  };
}

export const NETWORK_FAULTS: readonly FaultKind[] = [
  {
    name: 'zone-cut',
    durationRange: [300, 5000],
    inject(simulation, random) {
      const [one, other] = pickZonePair(simulation, random);
      return { detail: `${one} - ${other}`, heal: cutBoth(simulation, one, other) };
    },
  },
  {
    name: 'zone-isolated',
    durationRange: [300, 5000],
    inject(simulation, random) {
      const [inside, ...outside] = random.shuffle(simulation.sizes.zones) as [string, ...string[]];
      const heals = outside.map((zone) => cutBoth(simulation, inside, zone));
      return {
        detail: inside,
        heal: () => {
          for (const heal of heals) {
            heal();
          }
        },
      };
    },
  },
  {
    name: 'one-way-cut',
    durationRange: [300, 5000],
    inject(simulation, random) {
      const [from, to] = pickZonePair(simulation, random);
      return { detail: `${from} -> ${to}`, heal: simulation.network.cut(from, to) };
    },
  },
  {
    name: 'half-open',
    durationRange: [100, 2500],
    inject(simulation, random) {
      const [one, other] = random.shuffle([...simulation.controls, ...simulation.routers]);
      const names = [one?.name ?? '', other?.name ?? ''] as const;
      return { detail: names.join(' -> '), heal: simulation.network.cut(...names) };
    },
  },
  {
    name: 'control-isolated',
    durationRange: [1000, 8000],
    inject: (simulation, random) => isolate(simulation, random.pick(simulation.controls).name),
  },
  {
    name: 'leader-isolated',
    durationRange: [1000, 6000],
    inject(simulation) {
      const leader = simulation.leader();
      return leader === undefined ? null : isolate(simulation, leader.name);
    },
  },
  {
    name: 'cut-router',
    durationRange: [1000, 6000],
    inject(simulation, random) {
      const { name } = random.pick(simulation.routers);
      return { detail: name, heal: cutBoth(simulation, name, 'control') };
    },
  },
  {
    name: 'cut-upstream',
    durationRange: [1000, 6000],
    inject(simulation, random) {
      const { name } = random.pick(simulation.upstreams);
      return { detail: name, heal: cutBoth(simulation, name, 'control') };
    },
  },
  {
    name: 'delay',
    durationRange: [500, 5000],
    inject: (simulation, random) =>
      disturb(simulation, { lateShare: random.between(0.02, 0.3), lateMillis: random.between(50, 900) }),
  },
  {
    name: 'duplicate',
    durationRange: [500, 5000],
    inject: (simulation, random) => disturb(simulation, { duplication: random.between(0.05, 0.5) }),
  },
  {
    name: 'reorder',
    durationRange: [500, 5000],
    inject: (simulation, random) =>
      disturb(simulation, { lateShare: 0.5, lateMillis: random.between(5, 120), duplication: 0.1 }),
  },
  {
    name: 'loss',
    durationRange: [500, 4000],
    inject: (simulation, random) => disturb(simulation, { loss: random.between(0.02, 0.3) }),
  },
];
