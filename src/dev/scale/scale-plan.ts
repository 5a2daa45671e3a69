/** Numbers and names of the processes of a scale run. */
import type { ServiceName, UpstreamId, Zone } from '../../model/identifiers.js';
import type { ServiceDefinition, UpstreamDefinition } from '../../model/service.js';

export const CONTROL_MEMBERS = 3;
/** Number of routers that run as the real daemon, each in its own process. */
export const REAL_ROUTERS = 2;
export const ZONES: readonly Zone[] = ['zone-a', 'zone-b', 'zone-c'];
/** Number of shards per server at the target size. */
export const SHARDS_PER_UPSTREAM = 75;
const SHARDS_PER_SERVICE = 7500;
const SIMULATED_ROUTERS_PER_PROCESS = 150;
const SIMULATED_UPSTREAMS_PER_PROCESS = 200;
const MIN_UPSTREAMS = 3;
const KEYSPACE = 'all';

/** Requested sizes. `daemons` counts control members and routers; upstream servers come in addition. */
export interface ScaleSize {
  readonly daemons: number;
  readonly shards: number;
}

export interface ScalePlan extends ScaleSize {
  readonly services: readonly ServiceDefinition[];
  /** Names of the simulated upstreams of each process. */
  readonly upstreamProcesses: readonly (readonly UpstreamId[])[];
  /** Names of the simulated routers of each process. */
  readonly routerProcesses: readonly (readonly string[])[];
  readonly realRouters: readonly string[];
}

/** Divides a size into processes. */
export function planScale(size: ScaleSize): ScalePlan {
  const upstreams = Math.max(MIN_UPSTREAMS, Math.ceil(size.shards / SHARDS_PER_UPSTREAM));
  const simulatedRouters = Math.max(1, size.daemons - CONTROL_MEMBERS - REAL_ROUTERS);
  const routerProcesses = Math.max(ZONES.length, Math.ceil(simulatedRouters / SIMULATED_ROUTERS_PER_PROCESS));
  const upstreamProcesses = Math.ceil(upstreams / SIMULATED_UPSTREAMS_PER_PROCESS);
  return {
    ...size,
    services: planServices(size.shards, upstreams),
    upstreamProcesses: divide(namesOf('upstream', upstreams), upstreamProcesses),
    routerProcesses: divide(namesOf('router', simulatedRouters), routerProcesses),
    realRouters: namesOf('real-router', REAL_ROUTERS),
  };
}

/** Returns the definition of one simulated upstream; services are assigned to upstreams round-robin. */
export function upstreamDefinition(
  plan: ScalePlan,
  id: UpstreamId,
  index: number,
  address: string,
): UpstreamDefinition {
  const service = serviceOfUpstream(plan, index);
  const zone = ZONES[index % ZONES.length] as Zone;
  return { id, service, address, zone, mayHold: [], leaving: false };
}

/** Returns the service of the upstream with this position. */
export function serviceOfUpstream({ services }: ScalePlan, index: number): ServiceName {
  return (services[index % services.length] as ServiceDefinition).name;
}

function planServices(shards: number, upstreams: number): ServiceDefinition[] {
  const count = Math.max(1, Math.min(Math.round(shards / SHARDS_PER_SERVICE), upstreams));
  return Array.from({ length: count }, (_, index) => {
    const share = Math.floor(((index + 1) * shards) / count) - Math.floor((index * shards) / count);
    return serviceDefinition(`service-${index + 1}`, share);
  });
}

function serviceDefinition(name: ServiceName, shards: number): ServiceDefinition {
  return {
    name,
    keyed: true,
    repeatable: true,
    priority: 'interactive',
    deadlineMillis: 2000,
    slotsPerUpstream: 4,
    retryBudget: 0.1,
    queueLimit: 512,
    holdLimitMillis: 1000,
    coalesce: false,
    wholeAnswerBytes: 65_536,
    retentionMillis: 3_600_000,
    placement: { unavailability: 1, imbalance: 1, churn: 1 },
    movesPerMinute: 0,
    keyspaces: [{ name: KEYSPACE, kind: 'prefix', match: '', shards }],
    policy: [],
  };
}

function namesOf(kind: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${kind}-${index + 1}`);
}

/** Divides names into groups round-robin, so that group sizes differ by at most one. */
function divide(names: readonly string[], groups: number): string[][] {
  return Array.from({ length: groups }, (_, group) =>
    names.filter((_name, index) => index % groups === group),
  );
}
