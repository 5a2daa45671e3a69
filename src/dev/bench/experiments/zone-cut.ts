/** Cuts a zone off from the others under load, then heals it; measures failed requests and unavailable keys. */
import type { Zone } from '../../../model/identifiers.js';
import { type Arm, type Reading, reading, runArms, target, targetForAll, valuesOf } from '../arms.js';
import type { Experiment, ExperimentContext, ExperimentResult, LineChart } from '../experiment.js';
import {
  finish,
  keyedService,
  type LoadedWorld,
  outcomeReadings,
  serviceReadings,
  startLoadedWorld,
} from '../models/loaded-world.js';
import { rushOf } from '../world/world-from-deployment.js';

const LOAD_MILLIS = 12_000;
const CUT_AFTER_MILLIS = 1000;
const CUT_MILLIS = 6000;
const WAIT_LIMIT_MILLIS = 6000;
const BUCKET_MILLIS = 500;
const RECOVERED_SHARE = 0.99;
const RECOVERED_LIMIT_MILLIS = 3000;
const MILLIS_PER_SECOND = 1000;

const RECOVERED = 'keys served again by the rest after';
const IDEMPOTENT_RETURNS = 8;

interface CutArm {
  readonly name: string;
  readonly cutsLeaderZone: boolean;
  readonly returns: number;
}

const CUTS: readonly CutArm[] = [
  { name: 'zone of a follower', cutsLeaderZone: false, returns: IDEMPOTENT_RETURNS },
  { name: 'zone of the leader', cutsLeaderZone: true, returns: IDEMPOTENT_RETURNS },
  { name: 'follower, callers give up', cutsLeaderZone: false, returns: 0 },
];

function zoneToCut({ world }: LoadedWorld, ofLeader: boolean): Zone {
  const leaderZone = world.control.leader()?.zone;
  return world.options.zones.find((zone) => (zone === leaderZone) === ofLeader) as Zone;
}

interface CutRun {
  readonly readings: Reading[];
  readonly shares: readonly { readonly at: number; readonly share: number }[];
}

function run(context: ExperimentContext, seed: number, arm: CutArm): CutRun {
  const { deployment } = context;
  const watched = keyedService(deployment).name;
  const options = { watched, loadMillis: LOAD_MILLIS, returns: arm.returns };
  const loaded = startLoadedWorld(deployment, seed, options);
  const { world, tally } = loaded;
  world.run(CUT_AFTER_MILLIS);
  const zone = zoneToCut(loaded, arm.cutsLeaderZone);
  const cutAt = world.now;
  world.network.cut(zone);
  // Routers and servers in the cut zone keep serving until their leases end; only the view from outside the zone counts.
  loaded.probe.stop();
  const outside = world.routers.filter((router) => router.zone !== zone);
  const outsideProbe = world.watchFrom(outside, watched, loaded.keys);
  outsideProbe.start();
  const recoveryMillis = world.runUntil(
    () => outsideProbe.availableShare() >= RECOVERED_SHARE,
    WAIT_LIMIT_MILLIS,
    1,
  );
  world.run(Math.max(0, cutAt + CUT_MILLIS - world.now));
  world.network.heal(zone);
  finish(loaded);
  outsideProbe.stop();
  const readings = [
    reading(RECOVERED, 'ms', recoveryMillis),
    reading('unavailable', 'key-s', outsideProbe.unavailableKeySeconds),
    reading('changes of owner', 'shards', outsideProbe.ownerChanges),
    ...rushOf(deployment).mix.flatMap(({ service }) => serviceReadings(tally, service)),
    ...outcomeReadings(
      tally,
      deployment.services.map(({ name }) => name),
    ),
  ];
  const shares = tally
    .goodShareOverTime(watched, BUCKET_MILLIS)
    .map(({ at, share }) => ({ at: (at - cutAt) / MILLIS_PER_SECOND, share }));
  return { readings, shares };
}

function runExperiment(context: ExperimentContext): ExperimentResult {
  const points: LineChart['points'][number][] = [];
  const arms = runArms(
    context,
    CUTS.map(
      (arm): Arm => ({
        name: arm.name,
        baseline: arm.returns === 0,
        run: (seed) => {
          const { readings, shares } = run(context, seed, arm);
          if (seed === context.seeds[0]) {
            points.push(...shares.map(({ at, share }) => ({ series: arm.name, x: at, y: share })));
          }
          return readings;
        },
      }),
    ),
  );
  const watched = keyedService(context.deployment).name;
  const chart: LineChart = {
    title: `${watched}: good share by time of sending, first seed`,
    xTitle: 'seconds after the cut',
    yTitle: 'good share',
    points,
  };
  const orders = context.deployment.services.filter(({ repeatable }) => !repeatable);
  return {
    arms,
    charts: [chart],
    plotted: [RECOVERED, 'unavailable', 'unknown', `${watched} good share`],
    targets: [
      ...CUTS.slice(0, 2).map(({ name }) =>
        target(
          `99 % of the keys served by the rest, ${name}`,
          valuesOf(arms, name, RECOVERED),
          '<=',
          RECOVERED_LIMIT_MILLIS,
          'ms',
        ),
      ),
      ...orders.map(({ name }) =>
        target(
          `${name} good share, zone of a follower`,
          valuesOf(arms, 'zone of a follower', `${name} good share`),
          '>=',
          99,
          '%',
        ),
      ),
      targetForAll('unknown, zone of a follower', valuesOf(arms, 'zone of a follower', 'unknown'), 0),
    ],
    notes: [
      `Virtual time; load of the rush; the zone is cut off from the others for ${CUT_MILLIS / MILLIS_PER_SECOND} s. Callers reach routers of every zone all the time.`,
      `Callers retry after Retry-After up to ${IDEMPOTENT_RETURNS} times, orders with the same idempotency key; in the last arm they do not.`,
      'Orders count as good regardless of when they were answered; the p99 counts from the first attempt.',
    ],
  };
}

export const experiment: Experiment = {
  name: 'zone-cut',
  summary: 'a zone is cut off from the others for some seconds',
  defaultDeployment: 'colombo',
  run: runExperiment,
};
