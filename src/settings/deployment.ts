/**
 * Deployment files: the sizes, network times and load of one installation, from which development programs start a
 * fleet, a simulation or a benchmark.
 */
import { z } from 'zod';
import type { ServiceName, Zone } from '../model/identifiers.js';
import type { ServiceDefinition } from '../model/service.js';
import { checkUnique, nameSchema, serviceSchema } from './definition-schemas.js';
import { durationSchema, positiveDurationSchema } from './units.js';
import { checkSource, readYaml } from './yaml-source.js';

/** One-way times of the network. */
export interface DeploymentNetwork {
  readonly betweenZonesMillis: number;
  readonly clientMillis: number;
}

/** A set of like upstreams, spread over `zones` in turn. */
export interface UpstreamTemplate {
  readonly service: ServiceName;
  readonly count: number;
  /** Requests worked on at once. */
  readonly slots: number;
  /** Connections accepted. */
  readonly connections: number;
  /** Cost of a new connection. */
  readonly connectMillis: number;
  /** Cost of a health probe. */
  readonly probeMillis: number;
  /** Mean time of one request. */
  readonly serviceMillis: number;
  readonly zones: readonly Zone[];
}

/** Requests to one service within a phase. */
export interface WorkloadShare {
  readonly service: ServiceName;
  /** Part of the phase's requests, relative to the other shares. */
  readonly share: number;
  /** Number of distinct keys; 0 for services that aren't keyed. */
  readonly keys: number;
  /** Exponent of the Zipf distribution of key popularity; 0: uniform. */
  readonly skew: number;
  readonly method: 'GET' | 'POST';
}

/** A stretch of time with a steady rate and mix. */
export interface WorkloadPhase {
  readonly name: string;
  readonly seconds: number;
  readonly requestsPerSecond: number;
  readonly mix: readonly WorkloadShare[];
}

/** Load from callers. */
export interface Workload {
  /** Concurrent callers. */
  readonly callers: number;
  readonly phases: readonly WorkloadPhase[];
}

/** One installation. */
export interface Deployment {
  readonly name: string;
  readonly zones: readonly Zone[];
  readonly network: DeploymentNetwork;
  readonly services: readonly ServiceDefinition[];
  readonly upstreams: readonly UpstreamTemplate[];
  readonly workload: Workload;
}

const MILLIS_PER_SECOND = 1000;
const countSchema = z.int({ error: 'expected a whole number' }).min(1, 'must be 1 or more');

const templateSchema = z
  .strictObject({
    service: nameSchema,
    count: countSchema,
    slots: countSchema,
    connections: countSchema,
    connect: durationSchema,
    probe: durationSchema,
    serviceTime: positiveDurationSchema,
    zones: z.array(nameSchema).optional(),
  })
  .transform(({ connect, probe, serviceTime, ...template }) => ({
    ...template,
    connectMillis: connect,
    probeMillis: probe,
    serviceMillis: serviceTime,
  }));

const shareSchema = z.strictObject({
  service: nameSchema,
  share: z.number({ error: 'expected a number' }).gt(0, 'must be above 0'),
  keys: z.int({ error: 'expected a whole number' }).min(0, 'must be 0 or more').default(0),
  skew: z.number({ error: 'expected a number' }).min(0, 'must be 0 or more').default(0),
  method: z.enum(['GET', 'POST'], { error: 'expected GET or POST' }).default('GET'),
});

const phaseSchema = z
  .strictObject({
    name: nameSchema,
    duration: positiveDurationSchema,
    requestsPerSecond: z.number({ error: 'expected a number' }).gt(0, 'must be above 0'),
    mix: z.array(shareSchema).min(1, 'needs one or more'),
  })
  .transform(({ duration, ...phase }) => ({ ...phase, seconds: duration / MILLIS_PER_SECOND }));

const deploymentObject = z.strictObject({
  name: nameSchema,
  zones: z.array(nameSchema).min(1, 'needs one or more'),
  network: z
    .strictObject({ betweenZones: durationSchema, client: durationSchema })
    .transform(({ betweenZones, client }) => ({ betweenZonesMillis: betweenZones, clientMillis: client })),
  services: z.array(serviceSchema).min(1, 'needs one or more'),
  upstreams: z.array(templateSchema).min(1, 'needs one or more'),
  workload: z.strictObject({
    callers: countSchema,
    phases: z.array(phaseSchema).min(1, 'needs one or more'),
  }),
});
type DeploymentFields = z.output<typeof deploymentObject>;

function checkTemplates(fields: DeploymentFields, context: z.RefinementCtx): void {
  const services = new Set(fields.services.map((service) => service.name));
  const zones = new Set(fields.zones);
  fields.upstreams.forEach((template, index) => {
    if (!services.has(template.service)) {
      const message = `unknown service ${JSON.stringify(template.service)}`;
      context.addIssue({ code: 'custom', path: ['upstreams', index, 'service'], message });
    }
    template.zones?.forEach((zone, position) => {
      if (!zones.has(zone)) {
        const message = `unknown zone ${JSON.stringify(zone)} (zones: ${fields.zones.join(', ')})`;
        context.addIssue({ code: 'custom', path: ['upstreams', index, 'zones', position], message });
      }
    });
  });
}

function checkPhases(fields: DeploymentFields, context: z.RefinementCtx): void {
  const services = new Map(fields.services.map((service) => [service.name, service]));
  fields.workload.phases.forEach((phase, index) => {
    phase.mix.forEach((share, position) => {
      const path = ['workload', 'phases', index, 'mix', position];
      const service = services.get(share.service);
      if (service === undefined) {
        const message = `unknown service ${JSON.stringify(share.service)}`;
        context.addIssue({ code: 'custom', path: [...path, 'service'], message });
      } else if (service.keyed !== share.keys > 0) {
        const message = service.keyed
          ? 'a keyed service needs 1 or more'
          : 'must be 0: the service is not keyed';
        context.addIssue({ code: 'custom', path: [...path, 'keys'], message });
      }
    });
  });
}

/** A deployment file. */
export const deploymentSchema = deploymentObject
  .superRefine((fields, context) => {
    checkUnique(
      fields.services.map((service) => service.name),
      ['services'],
      context,
    );
    checkTemplates(fields, context);
    checkPhases(fields, context);
  })
  .transform(
    (fields): Deployment => ({
      ...fields,
      upstreams: fields.upstreams.map((template) => ({ ...template, zones: template.zones ?? fields.zones })),
    }),
  );

/** Reads a deployment file. Throws `SettingsError` with file, path and place of what is wrong. */
export function loadDeployment(path: string): Deployment {
  const [source] = readYaml(path);
  if (source === undefined) {
    throw new Error('a YAML file has at least one document');
  }
  return checkSource(source, deploymentSchema);
}
