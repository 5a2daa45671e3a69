/** Faults of upstreams: crashes, freezes, broken answers, and false hints about them. */
import type { Random } from '../random.js';
import type { Simulation } from '../simulation.js';
import type { SimUpstream } from '../upstream/sim-upstream.js';
import type { FaultKind } from './fault.js';
import { pause, pickRunning, runningOf } from './hit-process.js';

/** The fault that occurs alone at the start of some runs, so that the bound on new owners is checked. */
export const LOSS_IN_CALM = 'owner-and-leader-lost';
const HINT_INTERVAL_MILLIS = 400;
const BAD_ANSWER_SHARE = 0.15;

/** Crashes a server that owns keys, and follows its keys until they have new owners. */
function crashOwner(simulation: Simulation, random: Random): SimUpstream | undefined {
  const owners = runningOf(simulation.upstreams).filter((upstream) => upstream.grantedShards().length > 0);
  const lost = owners.length === 0 ? undefined : random.pick(owners);
  if (lost !== undefined) {
    simulation.expectNewOwners(lost);
    lost.isSilent = random.chance(0.5);
    lost.crash(lost.isSilent);
  }
  return lost;
}

export const UPSTREAM_FAULTS: readonly FaultKind[] = [
  {
    name: 'upstream-crash',
    durationRange: [50, 5000],
    inject(simulation, random) {
      const lost = crashOwner(simulation, random);
      return lost === undefined ? null : { detail: lost.name, heal: () => lost.start() };
    },
  },
  {
    name: LOSS_IN_CALM,
    durationRange: [3200, 5000],
    inject(simulation, random) {
      const leader = simulation.leader();
      const lost = leader === undefined ? undefined : crashOwner(simulation, random);
      if (leader === undefined || lost === undefined) {
        return null;
      }
      leader.crash(true);
      return {
        detail: `${lost.name} and ${leader.name}`,
        heal: () => {
          lost.start();
          leader.start();
        },
      };
    },
  },
  {
    name: 'upstream-freeze',
    durationRange: [200, 6000],
    inject: (simulation, random) => pause(pickRunning(simulation.upstreams, random)),
  },
  {
    name: 'owner-freeze',
    durationRange: [1600, 3600],
    inject(simulation, random) {
      const owners = runningOf(simulation.upstreams).filter(
        (upstream) => upstream.grantedShards().length > 0,
      );
      const busy = owners.filter((upstream) => upstream.inFlight > 0);
      const candidates = busy.length > 0 ? busy : owners;
      return candidates.length === 0 ? null : pause(random.pick(candidates));
    },
  },
];

/** Faults that make answers or hints wrong. */
export const MISLEADING_FAULTS: readonly FaultKind[] = [
  {
    name: 'bad-answers',
    durationRange: [1000, 5000],
    inject(simulation) {
      for (const upstream of simulation.upstreams) {
        upstream.badAnswers = BAD_ANSWER_SHARE;
      }
      return {
        detail: 'all upstreams',
        heal: () => {
          for (const upstream of simulation.upstreams) {
            upstream.badAnswers = 0;
          }
        },
      };
    },
  },
  {
    name: 'lying-hints',
    durationRange: [2000, 6000],
    inject(simulation, random) {
      const named = random.pick(simulation.upstreams).id;
      let isOver = false;
      const sendFalseHints = (): void => {
        if (isOver) {
          return;
        }
        for (const router of runningOf(simulation.routers)) {
          router.input({ type: 'platform-list', leaving: [named], live: [] });
          for (const { id, state } of simulation.upstreams) {
            const healthy = id !== named && state !== 'running' ? true : random.chance(0.5);
            router.input({ type: 'probe-result', upstream: id, healthy, load: 0 });
          }
        }
        simulation.time.after(HINT_INTERVAL_MILLIS, sendFalseHints);
      };
      sendFalseHints();
      return {
        detail: named,
        heal: () => {
          isOver = true;
        },
      };
    },
  },
];
