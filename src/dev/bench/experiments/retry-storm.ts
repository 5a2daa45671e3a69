/** A third of the upstreams fails: measures attempts per request and the good share that remains for callers. */
import type { ServiceDefinition } from '../../../model/service.js';
import { type Arm, type Reading, reading, runArms, target, valuesOf } from '../arms.js';
import type { Experiment, ExperimentContext, ExperimentResult } from '../experiment.js';
import { finishUnkeyed, startUnkeyedWorld, type UnkeyedWorld } from '../models/unkeyed-world.js';
import type { ModelUpstream } from '../world/model-upstream.js';

const WARM_UP_MILLIS = 1000;
const MEASURED_MILLIS = 5000;
const LOAD_SHARE = 0.5;
const FAILING_EVERY = 3;
const FAIL_AFTER_MILLIS = 1500;
const MAX_AMPLIFICATION = 1.1;
const PERCENT = 100;

const OURS = 'budget of the service';
const UNBOUNDED = 'no budget';
const NEVER = 'no retries';

interface Failure {
  readonly label: string;
  /** Whether every upstream fails, instead of every third. */
  readonly everywhere?: boolean;
  readonly loadShare: number;
  readonly fail: (upstream: ModelUpstream) => void;
}

const FAILURES: readonly Failure[] = [
  { label: 'killed', loadShare: LOAD_SHARE, fail: (upstream) => upstream.kill() },
  { label: 'frozen', loadShare: LOAD_SHARE, fail: (upstream) => upstream.freeze() },
  {
    label: 'every answer broken',
    loadShare: LOAD_SHARE,
    fail: (upstream) => {
      upstream.failureShare = 1;
    },
  },
  {
    label: 'half of all answers broken everywhere',
    everywhere: true,
    loadShare: LOAD_SHARE,
    fail: (upstream) => {
      upstream.failureShare = 0.5;
    },
  },
  {
    label: 'shedding',
    loadShare: 1.2,
    fail: (upstream) => {
      upstream.slowness = 4;
    },
  },
];

function amplification({ world, service }: UnkeyedWorld, before: { all: number; first: number }): number {
  const after = world.attempts(service.name);
  return (after.all - before.all) / (after.first - before.first);
}

function run(
  context: ExperimentContext,
  seed: number,
  failure: Failure,
  service: Partial<ServiceDefinition>,
): Reading[] {
  const started = startUnkeyedWorld(context.deployment, seed, {
    loadShare: failure.loadShare,
    warmUpMillis: WARM_UP_MILLIS,
    measuredMillis: MEASURED_MILLIS,
    traits: { queueLimit: 4 },
    service,
  });
  const { world, upstreams, tally } = started;
  world.run(FAIL_AFTER_MILLIS);
  const before = world.attempts(started.service.name);
  for (const [index, upstream] of upstreams.entries()) {
    if (failure.everywhere === true || index % FAILING_EVERY === 0) {
      failure.fail(upstream);
    }
  }
  finishUnkeyed(started);
  const { name } = started.service;
  return [
    reading(`amplification, ${failure.label}`, '', amplification(started, before)),
    reading(`good share, ${failure.label}`, '%', tally.goodShare(name) * PERCENT),
    reading(`p99, ${failure.label}`, 'ms', tally.latency(name, 0.99)),
    reading(`unknown, ${failure.label}`, '', tally.counts(name).unknown),
  ];
}

function runExperiment(context: ExperimentContext): ExperimentResult {
  const arm = (name: string, service: Partial<ServiceDefinition>): Arm => ({
    name,
    baseline: name !== OURS,
    run: (seed) => FAILURES.flatMap((failure) => run(context, seed, failure, service)),
  });
  const arms = runArms(context, [
    arm(OURS, {}),
    arm(UNBOUNDED, { retryBudget: 1 }),
    arm(NEVER, { retryBudget: 0 }),
  ]);
  return {
    arms,
    targets: FAILURES.map(({ label }) =>
      target(
        `attempts per request, ${label}`,
        valuesOf(arms, OURS, `amplification, ${label}`),
        '<=',
        MAX_AMPLIFICATION,
      ),
    ),
    notes: [
      'Virtual time; the largest read service without its keys; every third upstream fails under load, in one case all of them do in part.',
      `Load is ${LOAD_SHARE * PERCENT} % of capacity; for shedding 120 %, with upstreams that let only 4 requests wait and a third of which turn 4x slower.`,
      '`no budget` allows one retry for each first attempt, which is the maximum in a service definition.',
    ],
  };
}

export const experiment: Experiment = {
  name: 'retry-storm',
  summary: 'a third of the upstreams fails: attempts per request with and without a retry budget',
  defaultDeployment: 'recife',
  run: runExperiment,
};
