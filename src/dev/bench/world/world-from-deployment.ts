/** Converts a deployment into the options of a world, and its workload into streams. */
import type { ServiceDefinition, UpstreamDefinition } from '../../../model/service.js';
import type { Deployment, UpstreamTemplate, WorkloadPhase } from '../../../settings/deployment.js';
import type { WorldOptions } from './bench-world.js';
import type { LoadStream } from './load-generator.js';
import { ASSUMED_TRAITS, type UpstreamTraits } from './upstream-traits.js';

const ROUTERS_PER_ZONE = 2;
const CONTROL_MEMBERS = 3;
const FIRST_PORT = 10_000;

/** One upstream of a world. */
export interface UpstreamSpec {
  readonly definition: UpstreamDefinition;
  readonly traits: UpstreamTraits;
}

function specsOf(template: UpstreamTemplate, firstPort: number): UpstreamSpec[] {
  const { service, count, slots, connections, connectMillis, probeMillis, serviceMillis, zones } = template;
  const traits = { ...ASSUMED_TRAITS, slots, connections, connectMillis, probeMillis, serviceMillis };
  return Array.from({ length: count }, (_, index) => ({
    traits,
    definition: {
      id: `${service}-${index + 1}`,
      service,
      address: `127.0.0.1:${firstPort + index}`,
      zone: zones[index % zones.length] ?? 'none',
      mayHold: [],
      leaving: false,
    },
  }));
}

/** Overrides of the installation's options in one arm. */
export type WorldChange = Partial<WorldOptions>;

/** Returns the options of a deployment's installation: two routers per zone, three control members. */
export function worldOptions(deployment: Deployment, seed: number): WorldOptions {
  const { zones, network, services } = deployment;
  return {
    seed,
    zones,
    network,
    services,
    upstreams: deployment.upstreams.flatMap((template, index) =>
      specsOf(template, FIRST_PORT + index * 1000),
    ),
    routersPerZone: ROUTERS_PER_ZONE,
    controlMembers: CONTROL_MEMBERS,
    picker: 'least-work',
    controlConfig: {},
  };
}

export function serviceOf(deployment: Deployment, name: string): ServiceDefinition {
  return deployment.services.find((service) => service.name === name) as ServiceDefinition;
}

/** Returns the requests per second that a service's upstreams can process when warm. */
export function capacityPerSecond(deployment: Deployment, service: string): number {
  return deployment.upstreams
    .filter((template) => template.service === service)
    .reduce((sum, { count, slots, serviceMillis }) => sum + (count * slots * 1000) / serviceMillis, 0);
}

/** Returns the rush: the phase with the highest rate. */
export function rushOf(deployment: Deployment): WorkloadPhase {
  return deployment.workload.phases.reduce((rush, phase) =>
    phase.requestsPerSecond > rush.requestsPerSecond ? phase : rush,
  );
}

export interface StreamTimes {
  readonly from: number;
  readonly to: number;
}

/** Returns the streams of a phase; `rateOf` may override the requests per second of each service. */
export function streamsOf(
  deployment: Deployment,
  phase: WorkloadPhase,
  times: StreamTimes,
  rateOf: (service: string, ownRate: number) => number = (_service, ownRate) => ownRate,
  returns = 0,
): LoadStream[] {
  const shares = phase.mix.reduce((sum, { share }) => sum + share, 0);
  return phase.mix.map(({ service, share, keys, skew, method }) => ({
    ...times,
    service: serviceOf(deployment, service),
    requestsPerSecond: rateOf(service, (phase.requestsPerSecond * share) / shares),
    keys,
    skew,
    method,
    returns,
  }));
}
