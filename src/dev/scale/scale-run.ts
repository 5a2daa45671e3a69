/** A scale run: starts the processes, measures a steady state, then the cost of changes and losses. */
import { mkdtemp, rm } from 'node:fs/promises';
import { loadavg, tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import type { RaftTimings } from '../../consensus/types.js';
import { DEFAULT_CONTROL_TIMINGS } from '../../control/daemon/settings.js';
import { machineMillis } from '../journal/machine-clock.js';
import { ScaleFleet } from './scale-fleet.js';
import { planScale, type ScalePlan, type ScaleSize, SHARDS_PER_UPSTREAM } from './scale-plan.js';
import type { RoleRow, ScaleResult } from './scale-result.js';
import { meanOf, ratesBetween, type UsageSample } from './usage.js';

const DEFAULT_SECONDS = 8;
const CHANGES = 10;
const HEARTBEATS_PER_ELECTION = 5;
const CHANGE_PAUSE_MILLIS = 100;
const SETTLE_MILLIS = 1500;
const GRANT_POLL_MILLIS = 20;

export interface ScaleOptions extends ScaleSize {
  /** Length of the steady state over which rates are measured. */
  readonly seconds?: number;
  /** Election timeout of the control members; the heartbeat interval is a fifth of it. Default: the daemon's own. */
  readonly electionMillis?: number | undefined;
  readonly controlFlags?: readonly string[];
  /** Called at the start of each phase. */
  readonly progress?: (phase: string) => void;
}

/** Samples of all processes at one moment. */
interface FleetSample {
  readonly control: readonly UsageSample[];
  readonly routers: readonly UsageSample[];
  readonly realRouters: readonly UsageSample[];
  readonly upstreams: readonly UsageSample[];
}

/** Runs at one size and returns the measurements. */
export async function runScale(options: ScaleOptions): Promise<ScaleResult> {
  const plan = planScale(options);
  const dataFolder = await mkdtemp(join(tmpdir(), 'ternmount-scale-'));
  const fleet = new ScaleFleet({
    plan,
    dataFolder,
    raft: raftTimings(options.electionMillis),
    controlFlags: options.controlFlags ?? [],
  });
  try {
    return await measure(plan, fleet, options);
  } finally {
    await fleet.stop();
    await rm(dataFolder, { recursive: true, force: true });
  }
}

function raftTimings(electionMillis: number | undefined): RaftTimings {
  return electionMillis === undefined
    ? DEFAULT_CONTROL_TIMINGS.raft
    : { electionTimeoutMillis: electionMillis, heartbeatMillis: electionMillis / HEARTBEATS_PER_ELECTION };
}

async function measure(plan: ScalePlan, fleet: ScaleFleet, options: ScaleOptions): Promise<ScaleResult> {
  const progress = options.progress ?? (() => {});
  const loadBefore = loadavg()[0] as number;
  progress('control');
  await fleet.startControl();
  progress('declarations and first grants');
  const declaredAt = machineMillis();
  await fleet.declare();
  await fleet.waitUntilOwned();
  const firstGrantsMillis = machineMillis() - declaredAt;
  progress('routers');
  await fleet.startRouters();
  await sleep(SETTLE_MILLIS);
  progress('steady state');
  const before = await sampleFleet(fleet);
  await sleep((options.seconds ?? DEFAULT_SECONDS) * 1000);
  const after = await sampleFleet(fleet);
  const rows = await roleRowsOf(plan, fleet, before, after);
  progress('configuration changes');
  const configurationChange = await measureChanges(plan, fleet);
  progress('loss of a server');
  const lostServer = await measureLoss(fleet);
  progress('restart of a router');
  const routerRestart = await measureRouterRestart(fleet);
  progress('restart of a zone');
  const zoneRestart = await measureZoneRestart(plan, fleet);
  return {
    daemons: plan.daemons,
    shards: plan.shards,
    upstreams: plan.upstreamProcesses.flat().length,
    hollowRouters: plan.routerProcesses.flat().length,
    machineLoad: [loadBefore, loadavg()[0] as number],
    resends: fleet.resends,
    firstGrantsMillis,
    rows,
    configurationChange,
    lostServer,
    routerRestart,
    zoneRestart,
    totalBytes: Object.values(after as unknown as Record<string, UsageSample[]>)
      .flat()
      .reduce((sum, { residentBytes }) => sum + residentBytes, 0),
  };
}

async function sampleFleet(fleet: ScaleFleet): Promise<FleetSample> {
  const [control, routers, realRouters, upstreams] = await Promise.all([
    Promise.all(fleet.control.map(({ methods }) => methods.sample())),
    Promise.all(fleet.routers.map(({ methods }) => methods.sample())),
    Promise.all(fleet.realRouters.map(({ methods }) => methods.sample())),
    Promise.all(fleet.upstreams.map(({ methods }) => methods.sample())),
  ]);
  return { control, routers, realRouters, upstreams };
}

async function roleRowsOf(
  plan: ScalePlan,
  fleet: ScaleFleet,
  before: FleetSample,
  after: FleetSample,
): Promise<RoleRow[]> {
  const rates = (role: keyof FleetSample, sizes: readonly number[]) =>
    before[role].map((sample, index) =>
      ratesBetween(sample, after[role][index] as UsageSample, sizes[index]),
    );
  const leader = fleet.control.indexOf(await fleet.leader());
  const control = rates(
    'control',
    fleet.control.map(() => 1),
  );
  const followers = control.filter((_, index) => index !== leader);
  const simulated = rates(
    'routers',
    plan.routerProcesses.map((names) => names.length),
  );
  const upstreams = rates(
    'upstreams',
    plan.upstreamProcesses.map((names) => names.length),
  );
  const real = rates(
    'realRouters',
    plan.realRouters.map(() => 1),
  );
  return [
    { role: 'control leader', count: 1, rates: meanOf(control.slice(leader, leader + 1)) },
    { role: 'control follower', count: followers.length, rates: meanOf(followers) },
    { role: 'router (real)', count: real.length, rates: meanOf(real) },
    { role: 'router (hollow)', count: plan.routerProcesses.flat().length, rates: meanOf(simulated) },
    {
      role: "upstream's fence (hollow)",
      count: plan.upstreamProcesses.flat().length,
      rates: meanOf(upstreams),
    },
  ];
}

/** Changes services one after the other and times each change until the last simulated router holds it. */
async function measureChanges(
  plan: ScalePlan,
  fleet: ScaleFleet,
): Promise<ScaleResult['configurationChange']> {
  const accepted: number[] = [];
  const inForce: number[] = [];
  for (let number = 0; number < CHANGES; number += 1) {
    const service = plan.services[number % plan.services.length] as ScalePlan['services'][number];
    const definition = { ...service, queueLimit: service.queueLimit + number + 1 };
    const startedAt = machineMillis();
    const revision = await fleet.change({ type: 'service-apply', definition, expected: null });
    accepted.push(machineMillis() - startedAt);
    inForce.push((await waitUntilReached(fleet, revision)) - startedAt);
    await sleep(CHANGE_PAUSE_MILLIS);
  }
  return {
    count: CHANGES,
    acceptedP50: median(accepted),
    inForceP50: median(inForce),
    inForceMax: Math.max(...inForce),
  };
}

async function waitUntilReached(fleet: ScaleFleet, revision: number): Promise<number> {
  return Math.max(...(await Promise.all(fleet.routers.map(({ methods }) => methods.whenReached(revision)))));
}

/** Kills one server and measures the time until its shards have new owners. */
async function measureLoss(fleet: ScaleFleet): Promise<ScaleResult['lostServer']> {
  const { lost, shards } = await typicalOwner(fleet);
  await Promise.all(fleet.upstreams.map(({ methods }) => methods.resetGrants()));
  const lostAt = await fleet.processOf(lost).methods.kill(lost);
  const revisions = await Promise.all(fleet.routers.map(({ methods }) => methods.whenReplaced(lost)));
  const knownAt = await waitUntilReached(fleet, Math.max(...revisions));
  const grantedAt = await waitForGrants(fleet, shards);
  return { shards, grantedMillis: grantedAt - lostAt, knownMillis: knownAt - lostAt };
}

/** Waits until `shards` grants were made; returns the time of the last one. */
async function waitForGrants(fleet: ScaleFleet, shards: number): Promise<number> {
  for (;;) {
    const grants = await Promise.all(fleet.upstreams.map(({ methods }) => methods.grants()));
    if (grants.reduce((sum, count) => sum + count.grants, 0) >= shards) {
      return Math.max(
        ...grants.filter((count) => count.grants > 0).map(({ lastGrantedAt }) => lastGrantedAt),
      );
    }
    await sleep(GRANT_POLL_MILLIS);
  }
}

/** Returns the server whose number of shards is nearest to that of an even distribution, and that number. */
async function typicalOwner(fleet: ScaleFleet): Promise<{ readonly lost: string; readonly shards: number }> {
  const owned = Object.entries((await fleet.routers[0]?.methods.owned()) ?? {});
  const counts = owned.filter(([owner]) => owner !== '');
  const distance = (count: number): number => Math.abs(count - SHARDS_PER_UPSTREAM);
  const [lost, shards] = counts.reduce((best, next) => (distance(next[1]) < distance(best[1]) ? next : best));
  return { lost, shards };
}

async function measureRouterRestart(fleet: ScaleFleet): Promise<ScaleResult['routerRestart']> {
  const old = fleet.realRouters.pop();
  await old?.methods.stop();
  await old?.stop();
  const { millis, bytesIn, cpuMillis, longestStepMillis } = await fleet.startRealRouter('real-router-again');
  return { millis, bytes: bytesIn, cpuMillis, longestStepMillis };
}

/** Restarts all simulated routers of one zone at the same moment. */
async function measureZoneRestart(plan: ScalePlan, fleet: ScaleFleet): Promise<ScaleResult['zoneRestart']> {
  const zone = fleet.routers.filter((_, index) => index % 3 === 0);
  const others = fleet.routers.filter((_, index) => index % 3 !== 0);
  const routers = plan.routerProcesses.filter((_, index) => index % 3 === 0).flat().length;
  await sampleFleet(fleet);
  const results = await Promise.all(zone.map(({ methods }) => methods.restart()));
  const withoutLease = await Promise.all(others.map(({ methods }) => methods.countWithoutLease()));
  const { control } = await sampleFleet(fleet);
  return {
    routers,
    millis: Math.max(...results.map(({ millis }) => millis)),
    bytesPerRouter: results.reduce((sum, result) => sum + result.bytesPerRouter, 0) / results.length,
    longestStepMillis: Math.max(...control.map((sample) => sample.longestStepMillis)),
    othersWithoutLease: withoutLease.reduce((sum, count) => sum + count, 0),
  };
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((one, other) => one - other);
  return sorted[Math.floor(sorted.length / 2)] as number;
}
