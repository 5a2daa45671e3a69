/** Compares upstream pickers with upstreams of unequal speed, current and stale load reports, and cold starts. */
import type { PickerName } from '../../../routing/index.js';
import { type Arm, type Reading, ratiosOf, reading, runArms, target } from '../arms.js';
import type { Experiment, ExperimentContext, ExperimentResult } from '../experiment.js';
import { finishUnkeyed, startUnkeyedWorld, type UnkeyedWorld } from '../models/unkeyed-world.js';
import { quantile } from '../statistics.js';

const WARM_UP_MILLIS = 1000;
const MEASURED_MILLIS = 3000;
const LOAD_SHARE = 0.7;
/** Lower while upstreams are cold, so that the remaining ones have enough capacity. */
const COLD_LOAD_SHARE = 0.5;
const SLOW_EVERY = 3;
const SLOWNESS = 3;
const STALE_MILLIS = 1000;
const DOWN_MILLIS = 500;
const PERCENT = 100;

interface Conditions {
  readonly label: string;
  /** Whether a third is killed during the warm-up and restarts cold when measuring starts. */
  readonly restarts?: boolean;
  readonly slowness: number;
  readonly loadLagMillis: number;
}

const CONDITIONS: readonly Conditions[] = [
  { label: 'equal', slowness: 1, loadLagMillis: 0 },
  { label: 'a third 3x slower', slowness: SLOWNESS, loadLagMillis: 0 },
  { label: 'the same, load 1 s old', slowness: SLOWNESS, loadLagMillis: STALE_MILLIS },
  { label: 'a third back from a restart, cold', slowness: 1, loadLagMillis: 0, restarts: true },
];

const PICKERS: readonly PickerName[] = ['least-work', 'least-in-flight', 'two-choices', 'round-robin'];

function localShare({ world, service }: UnkeyedWorld): number {
  const { all, local } = world.attempts(service.name);
  return local / all;
}

function run(
  context: ExperimentContext,
  seed: number,
  picker: PickerName,
  conditions: Conditions,
): Reading[] {
  const started = startUnkeyedWorld(context.deployment, seed, {
    loadShare: conditions.restarts === true ? COLD_LOAD_SHARE : LOAD_SHARE,
    warmUpMillis: WARM_UP_MILLIS,
    measuredMillis: MEASURED_MILLIS,
    change: { picker },
    traits: { loadLagMillis: conditions.loadLagMillis },
    prepare: (upstream, index) => {
      upstream.slowness = index % SLOW_EVERY === 0 ? conditions.slowness : 1;
    },
  });
  const { world, tally, service, upstreams } = started;
  if (conditions.restarts === true) {
    const restarted = upstreams.filter((_, index) => index % SLOW_EVERY === 0);
    world.run(WARM_UP_MILLIS - DOWN_MILLIS);
    for (const upstream of restarted) {
      upstream.kill();
    }
    world.run(DOWN_MILLIS);
    for (const upstream of restarted) {
      upstream.restart();
    }
  }
  finishUnkeyed(started);
  const busy = upstreams.map(({ startedCount, slowness }) => startedCount * slowness);
  const mean = busy.reduce((sum, work) => sum + work, 0) / busy.length;
  return [
    reading(`p50, ${conditions.label}`, 'ms', tally.latency(service.name, 0.5)),
    reading(`p99, ${conditions.label}`, 'ms', tally.latency(service.name, 0.99)),
    reading(`good share, ${conditions.label}`, '%', tally.goodShare(service.name) * PERCENT),
    reading(`within the zone, ${conditions.label}`, '%', localShare(started) * PERCENT),
    reading(`busiest to mean, ${conditions.label}`, '', quantile(busy, 1) / mean),
  ];
}

function runExperiment(context: ExperimentContext): ExperimentResult {
  const arms = runArms(
    context,
    PICKERS.map(
      (picker): Arm => ({
        name: picker,
        baseline: picker !== 'least-work',
        run: (seed) => CONDITIONS.flatMap((conditions) => run(context, seed, picker, conditions)),
      }),
    ),
  );
  const compared = CONDITIONS.slice(1).flatMap(({ label }) =>
    PICKERS.slice(1).map((picker) =>
      target(
        `p99 of least-work to ${picker}, ${label}`,
        ratiosOf(arms, `p99, ${label}`, 'least-work', picker),
        '<=',
        1,
      ),
    ),
  );
  return {
    arms,
    plotted: arms[0]?.measures.map(({ name }) => name).filter((name) => name.startsWith('p')) ?? [],
    targets: compared,
    notes: [
      `Virtual time; the largest read service without its keys, six routers, ${LOAD_SHARE * PERCENT} % of the total capacity of the upstreams.`,
      'These ratios have no required bound; at most 1 means that least-work is no worse.',
      `Under the last conditions the load is ${COLD_LOAD_SHARE * PERCENT} %; requests of a cold upstream take up to 3 times as long for 2 s (assumed).`,
      'Load reports come with answers and probes; under one of the conditions they report the load of one second ago.',
    ],
  };
}

export const experiment: Experiment = {
  name: 'picker',
  summary: 'least outstanding work against least in flight, two choices and round robin',
  defaultDeployment: 'recife',
  run: runExperiment,
};
