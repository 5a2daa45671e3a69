/** A world under the load of its deployment's rush, the phase with the highest rate. Experiments inject events into it. */
import type { ServiceName } from '../../../model/identifiers.js';
import type { ServiceDefinition } from '../../../model/service.js';
import type { Deployment } from '../../../settings/deployment.js';
import { type Reading, reading } from '../arms.js';
import { quantile } from '../statistics.js';
import type { AvailabilityProbe } from '../world/availability-probe.js';
import { BenchWorld } from '../world/bench-world.js';
import type { LoadGenerator } from '../world/load-generator.js';
import { RequestTally } from '../world/request-tally.js';
import { rushOf, streamsOf, type WorldChange, worldOptions } from '../world/world-from-deployment.js';

const SETTLE_MILLIS = 500;
const PERCENT = 100;

export interface LoadedWorldOptions {
  /** Service whose keys are probed: all keys that it has in the rush. */
  readonly watched: ServiceName;
  /** Maximum virtual duration of the load. */
  readonly loadMillis: number;
  /** Maximum number of retries of a refused request after Retry-After. */
  readonly returns: number;
  /** Factor on the rates of the rush. */
  readonly loadFactor?: number;
  readonly change?: WorldChange;
}

/** A world whose load has settled; measuring starts now. */
export interface LoadedWorld {
  readonly world: BenchWorld;
  readonly tally: RequestTally;
  readonly probe: AvailabilityProbe;
  readonly load: LoadGenerator;
  readonly keys: number;
}

/** Returns the first keyed service of a deployment. */
export function keyedService(deployment: Deployment): ServiceDefinition {
  return deployment.services.find(({ keyed }) => keyed) as ServiceDefinition;
}

export function startLoadedWorld(
  deployment: Deployment,
  seed: number,
  options: LoadedWorldOptions,
): LoadedWorld {
  const world = new BenchWorld({ ...worldOptions(deployment, seed), ...options.change });
  world.start();
  const rush = rushOf(deployment);
  const keys = rush.mix.find(({ service }) => service === options.watched)?.keys ?? 0;
  const from = world.now;
  const measuredFrom = from + SETTLE_MILLIS;
  const to = measuredFrom + options.loadMillis;
  const tally = new RequestTally(measuredFrom, to);
  const factor = options.loadFactor ?? 1;
  const rateOf = (_service: string, ownRate: number): number => ownRate * factor;
  const streams = streamsOf(deployment, rush, { from, to }, rateOf, options.returns).map((stream) => ({
    ...stream,
    service: world.service(stream.service.name),
  }));
  const load = world.load(tally, streams);
  world.run(SETTLE_MILLIS);
  const probe = world.watch(options.watched, keys);
  probe.start();
  return { world, tally, probe, load, keys };
}

/** Runs until the load has ended or is stopped and every call is answered. */
export function finish({ world, load, tally }: LoadedWorld): void {
  world.runUntil(() => load.isStopped || world.now >= tally.to);
  world.runUntil(() => load.open === 0);
}

/** Readings of the requests of a service as its callers see them. */
export function serviceReadings(tally: RequestTally, service: ServiceName): Reading[] {
  return [
    reading(`${service} good share`, '%', tally.goodShare(service) * PERCENT),
    reading(`${service} p99`, 'ms', tally.latency(service, 0.99)),
  ];
}

/** Outcomes over all services. */
export function outcomeReadings(tally: RequestTally, services: readonly ServiceName[]): Reading[] {
  const refusals = services.flatMap((service) => tally.counts(service).refusalMillis);
  return [
    reading('refused for good', '', tally.total('notRun')),
    reading('unknown', '', tally.total('unknown')),
    reading('refused: router time p99', 'ms', quantile(refusals, 0.99)),
  ];
}
