/** Scenarios: a rush with changing hot keys and with servers that join, drain and are lost; a rolling restart. */
import type { UpstreamId } from '../../../../model/identifiers.js';
import type { PlacementServer } from '../../../../placement/index.js';
import type { RandomSource } from '../../../virtual/random-source.js';
import type { KeyLoads, KeyTraffic } from './key-loads.js';
import type { PlacementWorld } from './placement-world.js';

const SECOND_MILLIS = 1000;
/** Length of the rush scenario. */
export const RUSH_SCENARIO_MILLIS = 480 * SECOND_MILLIS;
const RUSH_AT = 60 * SECOND_MILLIS;
const HOT_KEYS_CHANGE_AT = [130 * SECOND_MILLIS, 210 * SECOND_MILLIS, 290 * SECOND_MILLIS];
const HOT_KEYS = 3;
const JOIN_AT = 160 * SECOND_MILLIS;
const LEAVE_AT = 240 * SECOND_MILLIS;
const LOSS_AT = 260 * SECOND_MILLIS;
const RETURN_AT = 310 * SECOND_MILLIS;
const RUSH_END_AT = 360 * SECOND_MILLIS;
/** Duration of a server restart. */
const RESTART_MILLIS = 2 * SECOND_MILLIS;
const DRAIN_POLL_MILLIS = 20;

export interface RushScenarioParts {
  readonly world: PlacementWorld;
  readonly loads: KeyLoads;
  readonly random: RandomSource;
  readonly newServers: readonly PlacementServer[];
  readonly rush: KeyTraffic;
  readonly after: KeyTraffic;
}

/** Runs the rush scenario with all its events; ends at `RUSH_SCENARIO_MILLIS`. */
export function runRushScenario({ world, loads, random, newServers, rush, after }: RushScenarioParts): void {
  const [first, second, third] = [...world.servers.keys()] as [UpstreamId, UpstreamId, UpstreamId];
  const { queue } = world;
  queue.at(RUSH_AT, () => loads.setTraffic(rush));
  for (const at of HOT_KEYS_CHANGE_AT) {
    queue.at(at, () => loads.changeHotKeys(HOT_KEYS, random));
  }
  queue.at(JOIN_AT, () => {
    for (const server of newServers) {
      world.setServer(server);
    }
  });
  queue.at(LEAVE_AT, () => world.setState(first, 'draining'));
  queue.at(LOSS_AT, () => {
    world.lose(second);
    world.lose(third);
  });
  queue.at(RETURN_AT, () => {
    world.setState(second, 'ready');
    world.setState(third, 'ready');
  });
  queue.at(RUSH_END_AT, () => loads.setTraffic(after));
  queue.runUntil(RUSH_SCENARIO_MILLIS);
}

/** Drains and restarts every server, one after another, then runs for a settling period. */
export function runRollingRestart(world: PlacementWorld): void {
  const { queue } = world;
  queue.runUntil(RUSH_AT);
  for (const id of [...world.servers.keys()]) {
    world.setState(id, 'draining');
    while (world.ownedBy(id).length > 0) {
      queue.runUntil(queue.now + DRAIN_POLL_MILLIS);
    }
    world.setState(id, 'lost');
    queue.runUntil(queue.now + RESTART_MILLIS);
    world.setState(id, 'ready');
    queue.runUntil(queue.now + SECOND_MILLIS);
  }
  queue.runUntil(queue.now + RUSH_AT);
}
