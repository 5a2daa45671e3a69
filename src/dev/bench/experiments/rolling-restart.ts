/** Restarts every server of a keyed service in turn under load and measures how long keys are unavailable. */
import {
  type Arm,
  type Reading,
  ratiosOf,
  reading,
  runArms,
  target,
  targetForAll,
  valuesOf,
} from '../arms.js';
import type { Experiment, ExperimentContext, ExperimentResult } from '../experiment.js';
import {
  finish,
  keyedService,
  type LoadedWorld,
  outcomeReadings,
  serviceReadings,
  startLoadedWorld,
} from '../models/loaded-world.js';
import type { ModelUpstream } from '../world/model-upstream.js';

/** The load lasts longer than any arm. */
const LOAD_MILLIS = 40_000;
const LOAD_FACTOR = 1;
const RETURNS = 5;
const DRAIN_LIMIT_MILLIS = 10_000;
const DOWN_MILLIS = 500;
const UP_LIMIT_MILLIS = 5000;
const MIN_RATIO = 5;

const OURS = 'drain, warm, move';
const COLD = 'revoke, then grant';
const KILL = 'kill, wait for the lease';
const UNAVAILABLE = 'unavailable';

function setLeaving({ world }: LoadedWorld, server: ModelUpstream, leaving: boolean): void {
  const definition = { ...server.definition, leaving };
  world.change({ type: 'upstream-apply', definition, expected: null }, false);
}

function isBack({ world }: LoadedWorld, server: ModelUpstream): boolean {
  const { id } = server.definition;
  return world.routers.every((router) => router.view.upstream(id)?.incarnation === server.incarnation);
}

function drain(loaded: LoadedWorld, server: ModelUpstream): void {
  setLeaving(loaded, server, true);
  loaded.world.runUntil(() => !server.holdsAny() && server.inFlight === 0, DRAIN_LIMIT_MILLIS);
}

function restart(loaded: LoadedWorld, server: ModelUpstream, withDrain: boolean): void {
  if (withDrain) {
    drain(loaded, server);
  }
  server.kill();
  loaded.world.run(DOWN_MILLIS);
  server.restart();
  if (withDrain) {
    setLeaving(loaded, server, false);
  }
  loaded.world.runUntil(() => isBack(loaded, server), UP_LIMIT_MILLIS);
}

function run(context: ExperimentContext, seed: number, withDrain: boolean, withWarming: boolean): Reading[] {
  const { deployment } = context;
  const watched = keyedService(deployment).name;
  const loaded = startLoadedWorld(deployment, seed, {
    watched,
    loadMillis: LOAD_MILLIS,
    loadFactor: LOAD_FACTOR,
    returns: RETURNS,
    change: { controlConfig: withWarming ? {} : { warmTimeoutMillis: 0 } },
  });
  const { world, probe, tally, load, keys } = loaded;
  const startedAt = world.now;
  for (const server of world.upstreamsOf(watched)) {
    restart(loaded, server, withDrain);
  }
  const elapsedMillis = world.now - startedAt;
  load.stop();
  probe.stop();
  finish(loaded);
  return [
    reading(UNAVAILABLE, 'key-s', probe.unavailableKeySeconds),
    reading(
      'unavailable, of all key-seconds',
      '%',
      (probe.unavailableKeySeconds / keys / elapsedMillis) * 100_000,
    ),
    reading('longest gap of a key', 'ms', probe.longestGapMillis),
    reading('changes of owner', 'shards', probe.ownerChanges),
    reading('took', 's', elapsedMillis / 1000),
    ...serviceReadings(tally, watched),
    ...outcomeReadings(tally, [watched]),
  ];
}

function runExperiment(context: ExperimentContext): ExperimentResult {
  const arm = (name: string, withDrain: boolean, withWarming: boolean): Arm => ({
    name,
    baseline: name !== OURS,
    run: (seed) => run(context, seed, withDrain, withWarming),
  });
  const arms = runArms(context, [arm(OURS, true, true), arm(COLD, true, false), arm(KILL, false, true)]);
  const title = 'unavailable key-seconds, revoke-then-grant to ours';
  return {
    arms,
    plotted: [UNAVAILABLE, 'longest gap of a key', 'changes of owner', 'took'],
    targets: [
      target(title, ratiosOf(arms, UNAVAILABLE, COLD, OURS), '>=', MIN_RATIO, 'x'),
      targetForAll('unknown in a planned restart', valuesOf(arms, OURS, 'unknown'), 0),
    ],
    notes: [
      `Virtual time; every server of the first keyed service in turn, ${DOWN_MILLIS} ms down each, at ${LOAD_FACTOR} of the load of the rush.`,
      'A shard that is granted cold is loaded for 300 ms (assumed) before it is served; a warmed one is not.',
      'A key is available when a server holds its shard under a valid lease, has it loaded, and a router sends requests there.',
    ],
  };
}

export const experiment: Experiment = {
  name: 'rolling-restart',
  summary: 'every server of a keyed service is restarted in turn, with and without warming its successor',
  defaultDeployment: 'colombo',
  run: runExperiment,
};
