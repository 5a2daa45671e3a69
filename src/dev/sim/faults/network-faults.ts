/** Faults of the network: cuts of zones and processes, in one or both directions, and bad weather. */
import type { NetworkWeather } from '../network.js';
import type { Random } from '../random.js';
import type { Simulation } from '../simulation.js';
import type { FaultKind, InjectedFault } from './fault.js';

/** Blocks both directions. */
function cutBoth(simulation: Simulation, one: string, other: string): () => void {
  const heals = [simulation.network.cut(one, other), simulation.network.cut(other, one)];
  return () => {
    for (const heal of heals) {
      heal();
    }
  };
}

function zonesOf(simulation: Simulation, random: Random): readonly [string, string] {
  const [one, other] = random.shuffle(simulation.sizes.zones) as [string, string];
  return [one, other];
}

function isolate(simulation: Simulation, name: string): InjectedFault {
  return { detail: name, heal: cutBoth(simulation, name, '*') };
}

function weather(simulation: Simulation, change: Partial<NetworkWeather>): InjectedFault {
  Object.assign(simulation.network.weather, change);
  return {
    detail: JSON.stringify(change),
    heal: () => {
      for (const name of Object.keys(change) as (keyof NetworkWeather)[]) {
        simulation.network.weather[name] = 0;
      }
    },
  };
}

export const NETWORK_FAULTS: readonly FaultKind[] = [
  {
    name: 'zone-cut',
    lasts: [300, 5000],
    inject(simulation, random) {
      const [one, other] = zonesOf(simulation, random);
      return { detail: `${one} - ${other}`, heal: cutBoth(simulation, one, other) };
    },
  },
  {
    name: 'zone-isolated',
    lasts: [300, 5000],
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
    lasts: [300, 5000],
    inject(simulation, random) {
      const [from, to] = zonesOf(simulation, random);
      return { detail: `${from} -> ${to}`, heal: simulation.network.cut(from, to) };
    },
  },
  {
    name: 'half-open',
    lasts: [100, 2500],
    inject(simulation, random) {
      const [one, other] = random.shuffle([...simulation.controls, ...simulation.routers]);
      const names = [one?.name ?? '', other?.name ?? ''] as const;
      return { detail: names.join(' -> '), heal: simulation.network.cut(...names) };
    },
  },
  {
    name: 'control-isolated',
    lasts: [1000, 8000],
    inject: (simulation, random) => isolate(simulation, random.pick(simulation.controls).name),
  },
  {
    name: 'leader-isolated',
    lasts: [1000, 6000],
    inject(simulation) {
      const leader = simulation.leader();
      return leader === undefined ? null : isolate(simulation, leader.name);
    },
  },
  {
    name: 'cut-router',
    lasts: [1000, 6000],
    inject(simulation, random) {
      const { name } = random.pick(simulation.routers);
      return { detail: name, heal: cutBoth(simulation, name, 'control') };
    },
  },
  {
    name: 'cut-upstream',
    lasts: [1000, 6000],
    inject(simulation, random) {
      const { name } = random.pick(simulation.upstreams);
      return { detail: name, heal: cutBoth(simulation, name, 'control') };
    },
  },
  {
    name: 'delay',
    lasts: [500, 5000],
    inject: (simulation, random) =>
      weather(simulation, { lateShare: random.between(0.02, 0.3), lateMillis: random.between(50, 900) }),
  },
  {
    name: 'duplicate',
    lasts: [500, 5000],
    inject: (simulation, random) => weather(simulation, { duplication: random.between(0.05, 0.5) }),
  },
  {
    name: 'reorder',
    lasts: [500, 5000],
    inject: (simulation, random) =>
      weather(simulation, { lateShare: 0.5, lateMillis: random.between(5, 120), duplication: 0.1 }),
  },
  {
    name: 'loss',
    lasts: [500, 4000],
    inject: (simulation, random) => weather(simulation, { loss: random.between(0.02, 0.3) }),
  },
];
