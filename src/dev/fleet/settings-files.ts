/** Writes the settings files of a fleet's processes, and the declarations that its operator applies. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { stringify } from 'yaml';
import type { UpstreamDefinition } from '../../model/service.js';
import { serviceDocument, upstreamDocument } from '../../settings/definition-writer.js';
import { CLIENT_ZONE } from './address-plan.js';
import type { FleetOptions } from './fleet-options.js';
import {
  type ControlPlan,
  type FleetPlan,
  type LinkPlan,
  type RouterPlan,
  type UpstreamPlan,
  type UpstreamProcessPlan,
  upstreamsOf,
} from './fleet-plan.js';
import { planStreams } from './load-plan.js';

const SECRET_MODE = 0o600;
/** Maximum number of requests that wait for a slot in a stand-in upstream. */
const UPSTREAM_QUEUE_LIMIT = 8;
/** The same where upstreams announce themselves, few enough that routers meet full ones. */
const ANNOUNCED_QUEUE_LIMIT = 1;
/** Connections of one caller process to one router, enough that requests never wait for one. */
const CALLER_CONNECTIONS = 512;
/** The same for a pipelining caller, few enough that requests are in fact pipelined. */
const PIPELINING_CONNECTIONS = 2;
const PROBE_INTERVAL = '1s';
/** Settings of routers that go by declared routes. */
const BY_ROUTES = { byRoutes: true, retryAfterUnit: 'fractions', whenOutOfTouch: 'serve' };
/** Time to load the state of one shard. */
const SHARD_WARM_MILLIS = 20;
/** A started upstream reaches its usual service time after `millis`. */
const COLD_START = { millis: 2000, factor: 2, shardWarmMillis: SHARD_WARM_MILLIS };

export function settingsFileOf(process: { readonly folder: string }): string {
  return join(process.folder, 'settings.yaml');
}

export function journalFileOf(plan: FleetPlan, process: { readonly name: string }): string {
  return join(plan.journalFolder, `${process.name}.jsonl`);
}

/** Path of the file with all declarations. */
export function declarationsFileOf(plan: FleetPlan): string {
  return join(plan.folder, 'declarations.yaml');
}

function writeYaml(file: string, value: unknown): void {
  mkdirSync(dirname(file), { recursive: true });
  writeFileSync(file, stringify(value));
}

export function controlSettings(plan: FleetPlan, control: ControlPlan): object {
  return {
    cluster: plan.cluster,
    replicaName: control.name,
    zone: control.zone,
    zones: plan.deployment.zones,
    dataFolder: control.dataFolder,
    listen: control.internal.listen,
    advertise: control.internal.advertised,
    outgoing: control.host,
    admin: control.admin,
    peers: plan.control.filter((other) => other !== control).map((other) => other.internal.advertised),
    secretFile: plan.secretFile,
  };
}

function routerSettings(plan: FleetPlan, router: RouterPlan, declared: boolean): object {
  return {
    cluster: plan.cluster,
    router: router.name,
    zone: router.zone,
    zones: plan.deployment.zones,
    listen: router.callers.listen,
    outgoing: router.host,
    admin: router.admin,
    control: plan.control.map((control) => control.internal.advertised),
    secretFile: plan.secretFile,
    probeInterval: PROBE_INTERVAL,
    platformUrl: `http://${plan.platform.listen}/machines`,
    ...(declared && { ...BY_ROUTES, relay: router.relay }),
  };
}

function standinSettings(
  upstream: UpstreamPlan,
  { speeds, declared }: Pick<FleetOptions, 'speeds' | 'declared'>,
): object {
  const { template, place } = upstream;
  const speed = speeds[place % speeds.length] ?? 1;
  return {
    id: upstream.id,
    service: upstream.service,
    listen: upstream.endpoint.listen,
    advertised: upstream.endpoint.advertised,
    zone: upstream.zone,
    keyed: upstream.keyed,
    slots: template.slots,
    queueLimit: declared ? ANNOUNCED_QUEUE_LIMIT : UPSTREAM_QUEUE_LIMIT,
    connections: template.connections,
    connectMillis: template.connectMillis,
    probeMillis: template.probeMillis,
    serviceTime: { kind: 'log-normal', meanMillis: template.serviceMillis / speed },
    coldStart: COLD_START,
  };
}

function upstreamSettings(
  plan: FleetPlan,
  process: UpstreamProcessPlan,
  { seed, speeds, declared }: Pick<FleetOptions, 'seed' | 'speeds' | 'declared'>,
): object {
  return {
    name: process.name,
    cluster: plan.cluster,
    secretFile: plan.secretFile,
    ...(declared && { announceTo: plan.control.map(({ admin }) => admin) }),
    control: process.admin,
    seed,
    journal: journalFileOf(plan, process),
    upstreams: process.upstreams.map((upstream) => standinSettings(upstream, { speeds, declared })),
  };
}

/** The link forwards to each process of its zone that other processes reach through it. */
function linkSettings(plan: FleetPlan, link: LinkPlan, seed: number): object {
  const inZone = <Item extends { readonly zone: string }>(items: readonly Item[]): Item[] =>
    items.filter(({ zone }) => zone === link.zone);
  const endpoints = [
    ...inZone(plan.control).map(({ internal }) => internal),
    ...inZone(plan.routers).map(({ callers }) => callers),
    ...inZone(upstreamsOf(plan)).map(({ endpoint }) => endpoint),
  ];
  const { betweenZonesMillis, clientMillis } = plan.deployment.network;
  return {
    control: link.admin,
    seed,
    zones: plan.hostsByZone,
    routes: endpoints.map(({ listen, advertised }) => ({
      listen: advertised,
      target: listen,
      targetZone: link.zone,
    })),
    delayMillis: betweenZonesMillis,
    clients: { zone: CLIENT_ZONE, delayMillis: clientMillis },
  };
}

function callerSettings(plan: FleetPlan, options: FleetOptions, index: number): object {
  const caller = plan.callers[index] as FleetPlan['callers'][number];
  const isPipelining = options.pipelining > 1 && index % 2 === 0;
  const { leaveShare, declared } = options;
  const share = { callers: plan.callers.length / options.rateScale, leaveShare, declared };
  return {
    name: caller.name,
    host: caller.host,
    control: caller.admin,
    seed: options.seed + index,
    seconds: options.seconds,
    connectionsPerRouter: isPipelining ? PIPELINING_CONNECTIONS : CALLER_CONNECTIONS,
    pipelining: isPipelining ? options.pipelining : 1,
    form: declared ? 'by-route' : 'by-service',
    routers: plan.routers.map(({ name, callers }) => ({ name, address: callers.advertised })),
    streams: planStreams(plan.deployment, options.seconds, share),
    journal: journalFileOf(plan, caller),
    summary: join(caller.folder, 'summary.json'),
  };
}

export function upstreamDefinition(upstream: UpstreamPlan): UpstreamDefinition {
  const { id, service, zone, endpoint } = upstream;
  return { id, service, zone, address: endpoint.advertised, mayHold: [], leaving: false };
}

function declarations(plan: FleetPlan): object[] {
  return [
    ...plan.deployment.services.map(serviceDocument),
    ...upstreamsOf(plan).map((upstream) => upstreamDocument(upstreamDefinition(upstream))),
  ];
}

/** Writes the settings of every process, the cluster's secret and the declarations. */
export function writeSettingsFiles(plan: FleetPlan, options: FleetOptions): void {
  mkdirSync(plan.journalFolder, { recursive: true });
  writeFileSync(plan.secretFile, `${plan.secret}\n`, { mode: SECRET_MODE });
  for (const control of plan.control) {
    writeYaml(settingsFileOf(control), controlSettings(plan, control));
  }
  for (const router of plan.routers) {
    writeYaml(settingsFileOf(router), routerSettings(plan, router, options.declared));
  }
  plan.upstreams.forEach((process, index) => {
    writeYaml(
      settingsFileOf(process),
      upstreamSettings(plan, process, { ...options, seed: options.seed + index }),
    );
  });
  plan.links.forEach((link, index) => {
    writeYaml(settingsFileOf(link), linkSettings(plan, link, options.seed + index));
  });
  const machines = upstreamsOf(plan).map(({ id }) => id);
  const { listen } = plan.platform;
  writeYaml(settingsFileOf(plan.platform), { listen, lagMillis: options.platformLagMillis, machines });
  plan.callers.forEach((caller, index) => {
    writeYaml(settingsFileOf(caller), callerSettings(plan, options, index));
  });
  writeYaml(declarationsFileOf(plan), declarations(plan));
}
