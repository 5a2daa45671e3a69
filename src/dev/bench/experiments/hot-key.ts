/** One key receives a third of a keyed service's reads: the effect of isolation on its own shard and of coalescing. */
import type { KeyspaceDefinition, ServiceDefinition } from '../../../model/service.js';
import type { Deployment } from '../../../settings/deployment.js';
import { type Arm, type Reading, reading, runArms, target, valuesOf } from '../arms.js';
import type { Experiment, ExperimentContext, ExperimentResult } from '../experiment.js';
import { keyedService } from '../models/loaded-world.js';
import { quantile } from '../statistics.js';
import { BenchWorld } from '../world/bench-world.js';
import { keyName, type LoadStream } from '../world/load-generator.js';
import { RequestTally, type TallyEntry } from '../world/request-tally.js';
import { capacityPerSecond, rushOf, worldOptions } from '../world/world-from-deployment.js';

const WARM_UP_MILLIS = 1000;
const MEASURED_MILLIS = 3000;
const MILLIS_PER_SECOND = 1000;
const PERCENT = 100;
/** Reads as a share of the upstreams' capacity; the hottest key alone exceeds the capacity of one upstream. */
const LOAD_SHARE = 0.3;
const OTHERS_SHARE_WANTED = 99;

interface HotKeyArm {
  readonly name: string;
  readonly isolated: boolean;
  readonly coalesce: boolean;
}

const NEITHER = 'neither';
const BOTH = 'isolated and coalesced';
const ARMS: readonly HotKeyArm[] = [
  { name: NEITHER, isolated: false, coalesce: false },
  { name: 'isolated', isolated: true, coalesce: false },
  { name: 'coalesced', isolated: false, coalesce: true },
  { name: BOTH, isolated: true, coalesce: true },
];

/** Returns the prefix keyspaces, and an exact one for the hottest key if it is isolated. */
function keyspacesOf(service: ServiceDefinition, hotKey: string, isolated: boolean): KeyspaceDefinition[] {
  const prefixes = service.keyspaces.filter(({ kind }) => kind === 'prefix');
  return isolated ? [{ name: 'hot', kind: 'exact', match: hotKey, shards: 1 }, ...prefixes] : prefixes;
}

function streamOf(deployment: Deployment, service: ServiceDefinition, from: number, to: number): LoadStream {
  const share = rushOf(deployment).mix.find((candidate) => candidate.service === service.name);
  const requestsPerSecond = capacityPerSecond(deployment, service.name) * LOAD_SHARE;
  const { keys = 1, skew = 1 } = share ?? {};
  return { service, from, to, requestsPerSecond, keys, skew, method: 'GET', returns: 0 };
}

function entryReadings(label: string, entries: readonly TallyEntry[]): Reading[] {
  const good = entries.filter((entry) => entry.good);
  const latencies = good.map(({ sentAt, answeredAt }) => answeredAt - sentAt);
  return [
    reading(`${label}: good share`, '%', (good.length / entries.length) * PERCENT),
    reading(`${label}: p50`, 'ms', quantile(latencies, 0.5)),
    reading(`${label}: p99`, 'ms', quantile(latencies, 0.99)),
  ];
}

function run(context: ExperimentContext, seed: number, arm: HotKeyArm): Reading[] {
  const { deployment } = context;
  const declared = keyedService(deployment);
  const prefixes = declared.keyspaces.filter(({ kind }) => kind === 'prefix');
  const hotKey = keyName({ ...declared, keyspaces: prefixes }, 0);
  const service = {
    ...declared,
    coalesce: arm.coalesce,
    keyspaces: keyspacesOf(declared, hotKey, arm.isolated),
  };
  const base = worldOptions(deployment, seed);
  const upstreams = base.upstreams.filter(({ definition }) => definition.service === service.name);
  const world = new BenchWorld({ ...base, services: [service], upstreams });
  world.start();
  const from = world.now;
  const measuredFrom = from + WARM_UP_MILLIS;
  const to = measuredFrom + MEASURED_MILLIS;
  const tally = new RequestTally(measuredFrom, to);
  // Key names are generated without the isolated keyspace, so that they are the same in every arm.
  const stream = streamOf(deployment, { ...service, keyspaces: prefixes }, from, to);
  const load = world.load(tally, [stream]);
  world.run(WARM_UP_MILLIS);
  const before = world.upstreamsOf(service.name).map(({ startedCount }) => startedCount);
  world.run(MEASURED_MILLIS);
  const startedCounts = world
    .upstreamsOf(service.name)
    .map((upstream, index) => upstream.startedCount - (before[index] ?? 0));
  world.runUntil(() => load.open === 0);
  const total = startedCounts.reduce((sum, count) => sum + count, 0);
  const hot = tally.entries.filter(({ key }) => key === hotKey);
  const others = tally.entries.filter(({ key }) => key !== hotKey);
  return [
    reading('hottest key, share of reads', '%', (hot.length / tally.entries.length) * PERCENT),
    ...entryReadings('hottest key', hot),
    ...entryReadings('other keys', others),
    reading('worked on by the upstreams', '1/s', total / (MEASURED_MILLIS / MILLIS_PER_SECOND)),
    reading('busiest upstream to mean', '', Math.max(...startedCounts) / (total / startedCounts.length)),
  ];
}

function runExperiment(context: ExperimentContext): ExperimentResult {
  const arms = runArms(
    context,
    ARMS.map(
      (arm): Arm => ({
        name: arm.name,
        baseline: arm.name === NEITHER,
        run: (seed) => run(context, seed, arm),
      }),
    ),
  );
  return {
    arms,
    targets: [
      target(
        'good share of the other keys, isolated',
        valuesOf(arms, 'isolated', 'other keys: good share'),
        '>=',
        OTHERS_SHARE_WANTED,
        '%',
      ),
      target(
        'good share of the hottest key, both',
        valuesOf(arms, BOTH, 'hottest key: good share'),
        '>=',
        OTHERS_SHARE_WANTED,
        '%',
      ),
    ],
    notes: [
      `Virtual time; the first keyed service alone, at ${LOAD_SHARE * PERCENT} % of the capacity of its upstreams, keys of the rush.`,
      'A key has one owner, so without coalescing no placement serves more of the hottest key than one server can.',
      'Isolated: the operator declares a keyspace that matches the hottest key alone. Placement moves shards by load in every arm.',
    ],
  };
}

export const experiment: Experiment = {
  name: 'hot-key',
  summary: 'a key that one server cannot serve: isolation and coalescing, each and both',
  defaultDeployment: 'recife',
  run: runExperiment,
};
