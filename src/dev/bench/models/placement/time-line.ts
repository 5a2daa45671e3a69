/** Scenarios: a rush with changing hot keys and with servers that join, drain and are lost; a rolling restart. */
import type { UpstreamId } from '../../../../model/identifiers.js';
import type { PlacementServer } from '../../../../placement/index.js';
import type { RandomSource } from '../../../virtual/random-source.js';
import type { KeyLoads, KeyTraffic } from './key-loads.js';
import type { PlacementWorld } from './placement-world.js';

const SECOND = 1000;
/** Length of the rush scenario. */
export const RUSH_LINE_MILLIS = 480 * SECOND;
const RUSH_AT = 60 * SECOND;
const HOT_KEYS_CHANGE_AT = [130 * SECOND, 210 * SECOND, 290 * SECOND];
const HOT_KEYS = 3;
const JOIN_AT = 160 * SECOND;
const LEAVE_AT = 240 * SECOND;
const LOSS_AT = 260 * SECOND;
const BACK_AT = 310 * SECOND;
const AFTER_AT = 360 * SECOND;
/** Duration of a server restart. */
const RESTART_MILLIS = 2 * SECOND;
const DRAIN_LOOK_MILLIS = 20;

export interface TimeLineParts {
  readonly world: PlacementWorld;
  readonly loads: KeyLoads;
  readonly random: RandomSource;
  readonly newServers: readonly PlacementServer[];
  readonly rush: KeyTraffic;
  readonly after: KeyTraffic;
}

/** Runs the rush scenario with all its events; ends at `RUSH_LINE_MILLIS`. */
export function runRush({ world, loads, random, newServers, rush, after }: TimeLineParts): void {
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
  queue.at(BACK_AT, () => {
    world.setState(second, 'ready');
    world.setState(third, 'ready');
  });
  queue.at(AFTER_AT, () => loads.setTraffic(after));
  queue.runUntil(RUSH_LINE_MILLIS);
}

/** Drains and restarts every server, one after another, then runs for a settling period. */
export function runRollingRestart(world: PlacementWorld): void {
  const { queue } = world;
  queue.runUntil(RUSH_AT);
  for (const id of [...world.servers.keys()]) {
    world.setState(id, 'draining');
    while (world.ownedBy(id).length > 0) {
      queue.runUntil(queue.now + DRAIN_LOOK_MILLIS);
    }
    world.setState(id, 'lost');
    queue.runUntil(queue.now + RESTART_MILLIS);
    world.setState(id, 'ready');
    queue.runUntil(queue.now + SECOND);
  }
  queue.runUntil(queue.now + RUSH_AT);
}
