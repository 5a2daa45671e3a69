/** A rush of reads alongside orders: goodput of each priority class below and above the capacity of the upstreams. */
import { PRIORITY_CLASSES, type PriorityClass, type ServiceDefinition } from '../../../model/service.js';
import type { Deployment } from '../../../settings/deployment.js';
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
import type { ExperimentContext, ExperimentResult } from '../experiment.js';
import { quantile } from '../statistics.js';
import { BenchWorld } from '../world/bench-world.js';
import { RequestTally } from '../world/request-tally.js';
import {
  capacityPerSecond,
  rushOf,
  streamsOf,
  type WorldChange,
  worldOptions,
} from '../world/world-from-deployment.js';

const WARM_UP_MILLIS = 500;
const MEASURED_MILLIS = 2000;
const MILLIS_PER_SECOND = 1000;
const PERCENT = 100;
/** Load of services of the highest priority class, as a share of their upstreams' capacity. */
const ORDERS_LOAD = 0.6;
const QUIET_LOAD = 0.3;
const GOODPUT_SHARE_WANTED = 95;
const REFUSAL_MILLIS_WANTED = 5;

export interface RushLoad {
  /** Read load as a multiple of the upstreams' capacity. */
  readonly reads: number;
  /** Order load as a multiple of the capacity of the orders' upstreams. */
  readonly orders: number;
}

/** Returns the rate of each read service, in the rush's mix, at which the first of them reaches its capacity. */
function readRates(deployment: Deployment, classes: ReadonlyMap<string, PriorityClass>): Map<string, number> {
  const reads = rushOf(deployment).mix.filter(({ service }) => classes.get(service) !== PRIORITY_CLASSES[0]);
  const perShare = Math.min(
    ...reads.map(({ service, share }) => capacityPerSecond(deployment, service) / share),
  );
  return new Map(reads.map(({ service, share }) => [service, perShare * share]));
}

function serviceReadings(service: ServiceDefinition, tally: RequestTally): Reading[] {
  const { name } = service;
  return [
    reading(`${name} goodput`, '1/s', tally.goodPerSecond(name)),
    reading(`${name} good share`, '%', tally.goodShare(name) * PERCENT),
    reading(`${name} p50`, 'ms', tally.latency(name, 0.5)),
    reading(`${name} p99`, 'ms', tally.latency(name, 0.99)),
  ];
}

function refusalReadings(services: readonly ServiceDefinition[], tally: RequestTally): Reading[] {
  const counts = services.map(({ name }) => tally.counts(name));
  const refusals = counts.flatMap(({ refusalMillis }) => refusalMillis);
  return [
    reading('refused', '1/s', refusals.length / (MEASURED_MILLIS / MILLIS_PER_SECOND)),
    reading('refused: router time p50', 'ms', quantile(refusals, 0.5)),
    reading('refused: router time p99', 'ms', quantile(refusals, 0.99)),
    reading('unknown', '', tally.total('unknown')),
  ];
}

/** Runs a deployment once at one load. */
export function runRush(
  deployment: Deployment,
  seed: number,
  rush: RushLoad,
  change: WorldChange = {},
): Reading[] {
  // Coalescing is off, so that the load is as configured; the hot-key experiment measures what coalescing saves.
  const services = deployment.services.map((service) => ({ ...service, coalesce: false }));
  const world = new BenchWorld({ ...worldOptions(deployment, seed), services, ...change });
  world.start();
  const classes = new Map(deployment.services.map(({ name, priority }) => [name, priority]));
  const reads = readRates(deployment, classes);
  const from = world.now;
  const measuredFrom = from + WARM_UP_MILLIS;
  const to = measuredFrom + MEASURED_MILLIS;
  const tally = new RequestTally(measuredFrom, to);
  const rateOf = (service: string): number => {
    const rate = reads.get(service);
    return rate === undefined ? capacityPerSecond(deployment, service) * rush.orders : rate * rush.reads;
  };
  const load = world.load(tally, streamsOf(deployment, rushOf(deployment), { from, to }, rateOf));
  world.run(to - from);
  world.runUntil(() => load.open === 0);
  return [
    ...deployment.services.flatMap((service) => serviceReadings(service, tally)),
    ...refusalReadings(deployment.services, tally),
  ];
}

const QUIET = 'without the rush';
const SINGLE = 'reads 1x';
const TRIPLE = 'reads 3x';
const ALL = 'all 3x';

function armsOf(deployment: Deployment): Arm[] {
  const arm = (name: string, load: RushLoad, baseline = false): Arm => ({
    name,
    baseline,
    run: (seed) => runRush(deployment, seed, load),
  });
  return [
    arm(QUIET, { reads: QUIET_LOAD, orders: ORDERS_LOAD }, true),
    arm(SINGLE, { reads: 1, orders: ORDERS_LOAD }),
    arm(TRIPLE, { reads: 3, orders: ORDERS_LOAD }),
    arm(ALL, { reads: 3, orders: 3 }),
  ];
}

/** Runs the rush of a deployment at 1x and 3x of its capacity. */
export function runRushExperiment(context: ExperimentContext): ExperimentResult {
  const { deployment } = context;
  const arms = runArms(context, armsOf(deployment));
  const highest = deployment.services.filter(({ priority }) => priority === PRIORITY_CLASSES[0]);
  const goodput = highest.map(({ name }) => {
    const shares = ratiosOf(arms, `${name} goodput`, TRIPLE, QUIET).map((ratio) => ratio * PERCENT);
    const title = `goodput of ${name} at 3x of reads, share of that without the rush`;
    return target(title, shares, '>=', GOODPUT_SHARE_WANTED, '%');
  });
  const kept = highest.map(({ name }) => {
    const capacity = capacityPerSecond(deployment, name);
    const shares = valuesOf(arms, ALL, `${name} goodput`).map((rate) => (rate / capacity) * PERCENT);
    return target(`goodput of ${name} with 3x of orders, share of its capacity`, shares, '>=', 90, '%');
  });
  const unknown = arms.flatMap(({ arm }) => valuesOf(arms, arm, 'unknown'));
  return {
    arms,
    targets: [
      ...goodput,
      ...kept,
      target(
        'refused at 3x: router time p99',
        valuesOf(arms, TRIPLE, 'refused: router time p99'),
        '<=',
        REFUSAL_MILLIS_WANTED,
        'ms',
      ),
      targetForAll('unknown without a fault', unknown, 0),
    ],
    notes: [
      'Virtual time: the real cores of routers and control, modelled upstreams, network and callers.',
      `Reads are a multiple of the rate at which the first read service reaches its capacity; orders run at ${ORDERS_LOAD} of their own (3 in the last arm).`,
      'Coalescing is off in every arm, so that the load on the upstreams is that of the arm.',
      'Goodput counts answers within the measured time, the good share the requests sent within it.',
      'Callers send an open-loop stream and do not retry after a refusal.',
      'Router time of a refusal: from arrival at the router to its answer, without the cost of the computation itself.',
    ],
  };
}
