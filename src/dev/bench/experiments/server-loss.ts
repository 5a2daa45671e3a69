/** Loses a server that owns keys under load; measures the unowned period of its keys and the effect on callers. */
import type { ShardId } from '../../../model/identifiers.js';
import { type Arm, type Reading, reading, runArms, target, targetForAll, valuesOf } from '../arms.js';
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

const LOAD_MILLIS = 5000;
const LOSS_AFTER_MILLIS = 500;
const RETURNS = 5;
const OWNED_SHARE = 0.99;
const NEW_OWNER_LIMIT_MILLIS = 3000;
const WAIT_LIMIT_MILLIS = 10_000;
const SAMPLE_MILLIS = 1;

type Loss = (server: ModelUpstream, loaded: LoadedWorld) => void;

interface LossArm {
  readonly name: string;
  readonly lose: Loss;
  readonly holdLimitMillis?: number;
}

const LOSSES: readonly LossArm[] = [
  { name: 'killed', lose: (server) => server.kill() },
  { name: 'frozen', lose: (server) => server.freeze() },
  {
    name: 'killed with the leader',
    lose: (server, { world }) => {
      world.control.killLeader();
      server.kill();
    },
  },
  { name: 'killed, no holding', lose: (server) => server.kill(), holdLimitMillis: 50 },
];

/** Returns the server that owns the most shards. */
function largestOwner({ world, probe }: LoadedWorld, service: string): ModelUpstream {
  return world
    .upstreamsOf(service)
    .reduce((largest, server) =>
      probe.shardsOf(server.definition.id).length > probe.shardsOf(largest.definition.id).length
        ? server
        : largest,
    );
}

function newOwnerMillis({ world, probe }: LoadedWorld, shards: readonly ShardId[]): number {
  return world.runUntil(() => probe.availableShare(shards) >= OWNED_SHARE, WAIT_LIMIT_MILLIS, SAMPLE_MILLIS);
}

function run(context: ExperimentContext, seed: number, arm: LossArm): Reading[] {
  const { deployment } = context;
  const watched = keyedService(deployment).name;
  const services = deployment.services.map((service) =>
    service.name === watched && arm.holdLimitMillis !== undefined
      ? { ...service, holdLimitMillis: arm.holdLimitMillis }
      : service,
  );
  const options = { watched, loadMillis: LOAD_MILLIS, returns: RETURNS, change: { services } };
  const loaded = startLoadedWorld(deployment, seed, options);
  loaded.world.run(LOSS_AFTER_MILLIS);
  const server = largestOwner(loaded, watched);
  const shards = loaded.probe.shardsOf(server.definition.id);
  arm.lose(server, loaded);
  const newOwnerAfterMillis = newOwnerMillis(loaded, shards);
  finish(loaded);
  loaded.probe.stop();
  return [
    reading('99 % of its keys have a new owner after', 'ms', newOwnerAfterMillis),
    reading('unavailable', 'key-s', loaded.probe.unavailableKeySeconds),
    ...serviceReadings(loaded.tally, watched),
    ...outcomeReadings(loaded.tally, [watched]),
  ];
}

function runExperiment(context: ExperimentContext): ExperimentResult {
  const arms = runArms(
    context,
    LOSSES.map(
      (arm): Arm => ({
        name: arm.name,
        baseline: arm.holdLimitMillis !== undefined,
        run: (seed) => run(context, seed, arm),
      }),
    ),
  );
  const title = '99 % of its keys have a new owner after';
  const limits = LOSSES.filter(({ holdLimitMillis }) => holdLimitMillis === undefined).map(({ name }) =>
    target(
      `new owner of 99 % of the keys, ${name}`,
      valuesOf(arms, name, title),
      '<=',
      NEW_OWNER_LIMIT_MILLIS,
      'ms',
    ),
  );
  return {
    arms,
    targets: [...limits, targetForAll('unknown reads after a kill', valuesOf(arms, 'killed', 'unknown'), 0)],
    notes: [
      'Virtual time; load of the rush of the deployment. The server with the most shards is lost.',
      `Callers retry after Retry-After up to ${RETURNS} times; latency counts from their first attempt.`,
      'An owner counts once a router sends requests there and the shard is loaded.',
    ],
  };
}

export const experiment: Experiment = {
  name: 'server-loss',
  summary: 'a server that owns keys is killed or freezes, alone and together with the control leader',
  defaultDeployment: 'colombo',
  run: runExperiment,
};
