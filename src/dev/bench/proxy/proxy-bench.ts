/**
 * Runs the arms of the proxy bench: the same load on upstreams called directly, on bare proxies with different HTTP
 * libraries, and on the router. All processes are real; a round starts and measures the arms one after another.
 */
import type { Address } from '../../../model/identifiers.js';
import { BENCH_SERVICE } from './bench-identity.js';
import { benchSnapshot } from './bench-snapshot.js';
import type { ChildTask, ProcessUsage, UpstreamClientName } from './child-messages.js';
import { BenchChild } from './child-process.js';
import { ControlStandin } from './control-standin.js';
import type { LoadResult, LoadRun } from './load-run.js';

export type FrontEnd = 'koa' | 'node';

/** The component between the load and the upstreams. */
export type ProxyArm =
  | { readonly kind: 'direct' }
  | { readonly kind: 'bare-proxy'; readonly frontEnd: FrontEnd; readonly client: UpstreamClientName }
  | { readonly kind: 'router'; readonly frontEnd: FrontEnd; readonly shards: number };

export interface ProxyBenchOptions {
  readonly arms: readonly ProxyArm[];
  readonly upstreams: number;
  readonly slotsPerUpstream: number;
  readonly connections: number;
  readonly answerBytes: number;
  readonly keys: number;
  /** Rate of the open loop. */
  readonly requestsPerSecond: number;
  readonly warmUpMillis: number;
  readonly measureMillis: number;
  /** Options for the Node of the process under test, such as `--cpu-prof`. */
  readonly nodeOptions: readonly string[];
}

/** One arm in one round. */
export interface ProxyMeasurement {
  readonly arm: string;
  /** Closed loop over all connections. */
  readonly throughput: LoadResult;
  /** Open loop at the fixed rate. */
  readonly paced: LoadResult;
  /** Mean number of cores in use by the process under test during the closed loop and during the open loop. */
  readonly throughputCores: number;
  readonly pacedCores: number;
  /** Share of the open loop during which the process waited for a processor; 0 where the system doesn't report it. */
  readonly pacedStarved: number;
  readonly peakResidentBytes: number;
}

export const DEFAULT_PROXY_OPTIONS: Omit<ProxyBenchOptions, 'arms'> = {
  upstreams: 15,
  slotsPerUpstream: 16,
  connections: 32,
  answerBytes: 1024,
  keys: 10_000,
  requestsPerSecond: 2300,
  warmUpMillis: 2000,
  measureMillis: 4000,
  nodeOptions: [],
};

export function armName(arm: ProxyArm): string {
  switch (arm.kind) {
    case 'direct':
      return 'direct';
    case 'bare-proxy':
      return `bare ${arm.frontEnd}+${arm.client}`;
    case 'router':
      return `router ${arm.frontEnd}, ${arm.shards} shards`;
  }
}

/** Measures every arm once. */
export async function measureRound(options: ProxyBenchOptions): Promise<ProxyMeasurement[]> {
  const { upstreams: count, answerBytes } = options;
  const upstream = await BenchChild.start({ kind: 'upstream', count, answerBytes, fencedServices: null });
  const measurements: ProxyMeasurement[] = [];
  try {
    for (const arm of options.arms) {
      measurements.push(await measureArm(arm, upstream, options));
    }
  } finally {
    await upstream.stop();
  }
  return measurements;
}

async function measureArm(
  arm: ProxyArm,
  upstream: BenchChild,
  options: ProxyBenchOptions,
): Promise<ProxyMeasurement> {
  if (arm.kind === 'direct') {
    return measureTarget(arm, upstream, options);
  }
  if (arm.kind === 'bare-proxy') {
    const { frontEnd, client } = arm;
    const task: ChildTask = { kind: 'bare-proxy', frontEnd, client, upstreams: upstream.addresses };
    return measureChild(arm, task, options);
  }
  const { shards, frontEnd } = arm;
  const { slotsPerUpstream } = options;
  const control = new ControlStandin(
    benchSnapshot({ upstreams: upstream.addresses, shards, slotsPerUpstream }),
  );
  const address = await control.start();
  try {
    return await measureChild(arm, { kind: 'router', frontEnd, control: [address] }, options);
  } finally {
    await control.stop();
  }
}

async function measureChild(
  arm: ProxyArm,
  task: ChildTask,
  options: ProxyBenchOptions,
): Promise<ProxyMeasurement> {
  const child = await BenchChild.start(task, options.nodeOptions);
  try {
    return await measureTarget(arm, child, options);
  } finally {
    await child.stop();
  }
}

async function measureTarget(
  arm: ProxyArm,
  target: BenchChild,
  options: ProxyBenchOptions,
): Promise<ProxyMeasurement> {
  const load = await BenchChild.start({ kind: 'load' });
  try {
    const closed = closedRun(target.addresses[0] as Address, options);
    await load.load({ ...closed, durationMillis: options.warmUpMillis });
    const before = await target.usage();
    const throughput = await load.load(closed);
    const between = await target.usage();
    const paced = await load.load({ ...closed, requestsPerSecond: options.requestsPerSecond });
    const after = await target.usage();
    return {
      arm: armName(arm),
      throughput,
      paced,
      throughputCores: coresBetween(before, between, options.measureMillis),
      pacedCores: coresBetween(between, after, options.measureMillis),
      pacedStarved: starvedBetween(between, after, options.measureMillis),
      peakResidentBytes: after.peakResidentBytes,
    };
  } finally {
    await load.stop();
  }
}

function closedRun(target: Address, options: ProxyBenchOptions): LoadRun {
  const { connections, keys, answerBytes, measureMillis } = options;
  return {
    target,
    connections,
    service: BENCH_SERVICE,
    keys,
    answerBytes,
    durationMillis: measureMillis,
    requestsPerSecond: null,
    headers: {},
    method: 'GET',
    claimed: false,
  };
}

function starvedBetween(before: ProcessUsage, after: ProcessUsage, millis: number): number {
  return ((after.starvedMillis ?? 0) - (before.starvedMillis ?? 0)) / millis;
}

function coresBetween(before: ProcessUsage, after: ProcessUsage, millis: number): number {
  return (after.cpuMillis - before.cpuMillis) / millis;
}
