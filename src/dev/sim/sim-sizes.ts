/** Shrinks a deployment for simulation: the same services and network, with fewer upstreams, shards and keys. */
import type { ServiceDefinition } from '../../model/service.js';
import type { Deployment, UpstreamTemplate } from '../../settings/deployment.js';
import type { NetworkTimings } from './network.js';

const MAX_UPSTREAMS = 4;
const MAX_SHARDS = 5;
const KEYS_PER_SERVICE = 24;
const SAME_ZONE_LATENCY_SHARE = 0.25;
/** Short enough that runs reach the end of the retention. */
const RETENTION_MILLIS = 6000;

/** A service and the servers behind it. */
export interface SizedService {
  readonly definition: ServiceDefinition;
  readonly template: UpstreamTemplate;
  /** Keys that callers request; empty for services without keys. */
  readonly keys: readonly string[];
}

export interface SimSizes {
  readonly name: string;
  readonly zones: readonly string[];
  readonly network: NetworkTimings;
  readonly services: readonly SizedService[];
}

/** Returns the reduced deployment, without the services that have no upstreams. */
export function shrinkDeployment(deployment: Deployment): SimSizes {
  const { betweenZonesMillis, clientMillis } = deployment.network;
  const services = deployment.services.flatMap((definition) => {
    const template = deployment.upstreams.find((candidate) => candidate.service === definition.name);
    return template === undefined ? [] : [shrinkService(definition, template)];
  });
  return {
    name: deployment.name,
    zones: deployment.zones,
    network: {
      sameZoneMillis: betweenZonesMillis * SAME_ZONE_LATENCY_SHARE,
      betweenZonesMillis,
      clientMillis,
    },
    services,
  };
}

function shrinkService(definition: ServiceDefinition, template: UpstreamTemplate): SizedService {
  const keyspaces = definition.keyspaces.map((keyspace) => ({
    ...keyspace,
    shards: Math.min(keyspace.shards, MAX_SHARDS),
  }));
  return {
    definition: {
      ...definition,
      keyspaces,
      retentionMillis: Math.max(RETENTION_MILLIS, definition.deadlineMillis),
    },
    template: { ...template, count: Math.min(template.count, MAX_UPSTREAMS) },
    keys: definition.keyed ? keysOf(definition) : [],
  };
}

/** Returns keys of all keyspaces in rotation. */
function keysOf(definition: ServiceDefinition): string[] {
  return Array.from({ length: KEYS_PER_SERVICE }, (_, number) => {
    const { kind, match } = definition.keyspaces[number % definition.keyspaces.length] as {
      kind: string;
      match: string;
    };
    return kind === 'exact' ? match : `${match}${number}`;
  });
}
