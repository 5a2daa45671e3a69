/** A deployment made small enough to simulate: the same services and network, fewer upstreams, shards and keys. */
import type { ServiceDefinition } from '../../model/service.js';
import type { Deployment, UpstreamTemplate } from '../../settings/deployment.js';
import type { NetworkTimings } from './network.js';

const MOST_UPSTREAMS = 4;
const MOST_SHARDS = 5;
const KEYS_PER_SERVICE = 24;
const SAME_ZONE_SHARE = 0.25;
/** Kept short, so that runs reach the end of it. */
const RETENTION_MILLIS = 6000;

/** A service and the servers behind it. */
export interface SizedService {
  readonly definition: ServiceDefinition;
  readonly template: UpstreamTemplate;
  /** Keys that callers ask for; empty for services that aren't keyed. */
  readonly keys: readonly string[];
}

export interface SimSizes {
  readonly name: string;
  readonly zones: readonly string[];
  readonly network: NetworkTimings;
  readonly services: readonly SizedService[];
}

/** Shrinks a deployment. Services without upstreams are left out. */
export function shrinkDeployment(deployment: Deployment): SimSizes {
  const { betweenZonesMillis, clientMillis } = deployment.network;
  const services = deployment.services.flatMap((definition) => {
    const template = deployment.upstreams.find((candidate) => candidate.service === definition.name);
    return template === undefined ? [] : [shrinkService(definition, template)];
  });
  return {
    name: deployment.name,
    zones: deployment.zones,
    network: { sameZoneMillis: betweenZonesMillis * SAME_ZONE_SHARE, betweenZonesMillis, clientMillis },
    services,
  };
}

function shrinkService(definition: ServiceDefinition, template: UpstreamTemplate): SizedService {
  const keyspaces = definition.keyspaces.map((keyspace) => ({
    ...keyspace,
    shards: Math.min(keyspace.shards, MOST_SHARDS),
  }));
  return {
    definition: {
      ...definition,
      keyspaces,
      retentionMillis: Math.max(RETENTION_MILLIS, definition.deadlineMillis),
    },
    template: { ...template, count: Math.min(template.count, MOST_UPSTREAMS) },
    keys: definition.keyed ? keysOf(definition) : [],
  };
}

/** Keys of every keyspace in turn. */
function keysOf(definition: ServiceDefinition): string[] {
  return Array.from({ length: KEYS_PER_SERVICE }, (_, number) => {
    const { kind, match } = definition.keyspaces[number % definition.keyspaces.length] as {
      kind: string;
      match: string;
    };
    return kind === 'exact' ? match : `${match}${number}`;
  });
}
