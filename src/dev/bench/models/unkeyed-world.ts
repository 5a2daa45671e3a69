/** A world with a single unkeyed service, so that results depend only on its load and the speed of its upstreams. */
import type { ServiceDefinition } from '../../../model/service.js';
import type { Deployment } from '../../../settings/deployment.js';
import { BenchWorld } from '../world/bench-world.js';
import type { LoadGenerator, LoadStream } from '../world/load-generator.js';
import type { ModelUpstream } from '../world/model-upstream.js';
import { RequestTally } from '../world/request-tally.js';
import { type UpstreamSpec, type WorldChange, worldOptions } from '../world/world-from-deployment.js';

const MILLIS_PER_SECOND = 1000;

export interface UnkeyedOptions {
  readonly loadShare: number;
  readonly warmUpMillis: number;
  readonly measuredMillis: number;
  readonly service?: Partial<ServiceDefinition>;
  readonly change?: WorldChange;
  readonly traits?: Partial<UpstreamSpec['traits']>;
  /** Applied to each upstream before the load starts. */
  readonly prepare?: (upstream: ModelUpstream, index: number) => void;
}

export interface UnkeyedWorld {
  readonly world: BenchWorld;
  readonly tally: RequestTally;
  readonly load: LoadGenerator;
  readonly service: ServiceDefinition;
  readonly upstreams: readonly ModelUpstream[];
}

/** Returns the repeatable service with the most upstreams as an unkeyed one; prefers services without keys. */
export function largestService(deployment: Deployment): ServiceDefinition {
  const countOf = ({ name }: ServiceDefinition): number =>
    deployment.upstreams.filter(({ service }) => service === name).reduce((sum, { count }) => sum + count, 0);
  const unkeyed = deployment.services.filter(({ keyed, repeatable }) => !keyed && repeatable);
  const candidates =
    unkeyed.length > 0 ? unkeyed : deployment.services.filter(({ repeatable }) => repeatable);
  const largest = candidates.reduce((best, service) => (countOf(service) > countOf(best) ? service : best));
  return { ...largest, keyed: false, keyspaces: [], coalesce: false };
}

/** Returns the requests per second that the upstreams can process at their current speeds. */
export function capacityNow(upstreams: readonly ModelUpstream[]): number {
  return upstreams.reduce(
    (sum, { traits, slowness }) =>
      sum + (traits.slots * MILLIS_PER_SECOND) / (traits.serviceMillis * slowness),
    0,
  );
}

/** Starts the world and its load; measuring starts after the warm-up. */
export function startUnkeyedWorld(
  deployment: Deployment,
  seed: number,
  options: UnkeyedOptions,
): UnkeyedWorld {
  const base = worldOptions(deployment, seed);
  const service = { ...largestService(deployment), ...options.service };
  const specs = base.upstreams
    .filter(({ definition }) => definition.service === service.name)
    .map(({ definition, traits }) => ({ definition, traits: { ...traits, ...options.traits } }));
  const world = new BenchWorld({ ...base, services: [service], upstreams: specs, ...options.change });
  const upstreams = world.upstreamsOf(service.name);
  upstreams.forEach((upstream, index) => {
    options.prepare?.(upstream, index);
  });
  world.start();
  const from = world.now;
  const measuredFrom = from + options.warmUpMillis;
  const to = measuredFrom + options.measuredMillis;
  const tally = new RequestTally(measuredFrom, to);
  const stream: LoadStream = {
    service,
    from,
    to,
    requestsPerSecond: capacityNow(upstreams) * options.loadShare,
    keys: 0,
    skew: 0,
    method: 'GET',
    returns: 0,
  };
  const load = world.load(tally, [stream]);
  return { world, tally, load, service, upstreams };
}

/** Runs until the load has ended and every call is answered. */
export function finishUnkeyed({ world, tally, load }: UnkeyedWorld): void {
  world.run(Math.max(0, tally.to - world.now));
  world.runUntil(() => load.open === 0);
}
