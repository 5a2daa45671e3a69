/**
 * Routers that lose their paths to upstreams while callers and control reach them. Not among `FAULT_KINDS`, so that the runs of existing
 * seeds stay the same.
 */
import type { Random } from '../random.js';
import type { SimRouter } from '../router/sim-router.js';
import type { Simulation } from '../simulation.js';
import type { FaultKind, InjectedFault } from './fault.js';

const UPSTREAMS = 'upstream';
const SOME_SHARE = 0.5;

function fault(routers: readonly SimRouter[], heals: readonly (() => void)[]): InjectedFault {
  return {
    detail: routers.map(({ name }) => name).join(', '),
    heal: () => {
      for (const heal of heals) {
        heal();
      }
    },
  };
}

function cutSilently({ network }: Simulation, routers: readonly SimRouter[]): InjectedFault {
  const heals = routers.flatMap(({ name }) => [network.cut(name, UPSTREAMS), network.cut(UPSTREAMS, name)]);
  return fault(routers, heals);
}

/** All routers but one. */
function mostOf({ routers }: Simulation, random: Random): SimRouter[] {
  return random.shuffle(routers).slice(1);
}

const RELAY_LOOK_MILLIS = 1;

/**
 * A router loses its paths. The first router that carries for it crashes while an answer is on its way, so that a request that is tried
 * again goes over another one.
 */
class RelayCrash {
  readonly #simulation: Simulation;
  readonly #blind: SimRouter;
  readonly #others: readonly SimRouter[];
  readonly #cut: InjectedFault;
  #isOver = false;

  constructor(simulation: Simulation, random: Random) {
    this.#simulation = simulation;
    this.#blind = random.pick(simulation.routers);
    this.#others = simulation.routers.filter((router) => router !== this.#blind);
    this.#cut = cutSilently(simulation, [this.#blind]);
    this.#look();
  }

  injected(): InjectedFault {
    return { detail: this.#blind.name, heal: () => this.#heal() };
  }

  #look(): void {
    if (this.#isOver) {
      return;
    }
    const relay = this.#others.find((router) => this.#blind.isAnswerOnWayOver(router));
    if (relay === undefined) {
      this.#simulation.time.after(RELAY_LOOK_MILLIS, () => this.#look());
      return;
    }
    relay.crash();
  }

  #heal(): void {
    this.#isOver = true;
    this.#cut.heal();
    for (const router of this.#others) {
      router.start();
    }
  }
}

export const LOST_PATHS: readonly FaultKind[] = [
  {
    name: 'router-blind',
    durationRange: [500, 5000],
    inject: (simulation, random) => cutSilently(simulation, [random.pick(simulation.routers)]),
  },
  {
    name: 'routers-blind',
    durationRange: [500, 5000],
    inject: (simulation, random) => cutSilently(simulation, mostOf(simulation, random)),
  },
  {
    name: 'router-deaf',
    durationRange: [500, 5000],
    inject(simulation, random) {
      const router = random.pick(simulation.routers);
      return fault([router], [simulation.network.cut(UPSTREAMS, router.name)]);
    },
  },
  {
    name: 'routers-refused',
    durationRange: [500, 5000],
    inject(simulation, random) {
      const routers = mostOf(simulation, random);
      const heals = routers.map((router) => {
        router.resetUpstreamConnections();
        return simulation.network.refuse(router.name, UPSTREAMS);
      });
      return fault(routers, heals);
    },
  },
  {
    name: 'router-blind-to-some',
    durationRange: [500, 5000],
    inject(simulation, random) {
      const router = random.pick(simulation.routers);
      const upstreams = simulation.upstreams.filter(() => random.chance(SOME_SHARE));
      const heals = upstreams.flatMap(({ name }) => [
        simulation.network.cut(router.name, name),
        simulation.network.cut(name, router.name),
      ]);
      return fault([router], heals);
    },
  },
  {
    name: 'relay-crash',
    durationRange: [1500, 3000],
    inject(simulation, random) {
      const { network, routers, upstreams } = simulation;
      const isAnyBlind = routers.some((router) =>
        upstreams.some((upstream) => network.isBlocked(router, upstream)),
      );
      return isAnyBlind ? null : new RelayCrash(simulation, random).injected();
    },
  },
];
