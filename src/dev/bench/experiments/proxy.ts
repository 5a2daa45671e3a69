/** Measures one router on one core in real processes: throughput, added latency, memory, cost of HTTP libraries. */
import { loadavg } from 'node:os';
import { gather, type Reading, reading, target, targetForAll, valuesOf } from '../arms.js';
import type { ArmResult, Experiment, ExperimentContext, ExperimentResult } from '../experiment.js';
import {
  armName,
  DEFAULT_PROXY_OPTIONS,
  measureRound,
  type ProxyArm,
  type ProxyMeasurement,
} from '../proxy/proxy-bench.js';

const MANY_SHARDS = 90_000;
const FEW_SHARDS = 1000;
const MICROS_PER_SECOND = 1_000_000;
const PERCENT = 100;
const BYTES_PER_MEGABYTE = 1_000_000;
const THROUGHPUT_WANTED = 5000;
const ADDED_P99_WANTED = 2;
const MEMORY_WANTED = 256;

const DIRECT: ProxyArm = { kind: 'direct' };
const KOA_ROUTER: ProxyArm = { kind: 'router', frontEnd: 'koa', shards: FEW_SHARDS };
const NODE_ROUTER: ProxyArm = { kind: 'router', frontEnd: 'node', shards: FEW_SHARDS };
const LARGE_ROUTER: ProxyArm = { kind: 'router', frontEnd: 'node', shards: MANY_SHARDS };

const ARMS: readonly ProxyArm[] = [
  DIRECT,
  { kind: 'bare-proxy', frontEnd: 'node', client: 'undici' },
  { kind: 'bare-proxy', frontEnd: 'node', client: 'node' },
  { kind: 'bare-proxy', frontEnd: 'node', client: 'got' },
  { kind: 'bare-proxy', frontEnd: 'koa', client: 'undici' },
  KOA_ROUTER,
  NODE_ROUTER,
  LARGE_ROUTER,
];

const THROUGHPUT = 'closed loop';
const PROCESSOR_TIME = 'processor time';
const PACED_P99 = 'p99';
const ADDED_P99 = 'added p99';
const MEMORY = 'peak memory';
const FAILURES = 'failures';

function readingsOf(measurement: ProxyMeasurement, direct: ProxyMeasurement): Reading[] {
  const { throughput, paced, throughputCores, peakResidentBytes } = measurement;
  const micros = (throughputCores * MICROS_PER_SECOND) / throughput.perSecond;
  return [
    reading(THROUGHPUT, '1/s', throughput.perSecond),
    reading(PROCESSOR_TIME, 'us/request', micros),
    reading('p50', 'ms', paced.p50),
    reading(PACED_P99, 'ms', paced.p99),
    reading('added p50', 'ms', paced.p50 - direct.paced.p50),
    reading(ADDED_P99, 'ms', paced.p99 - direct.paced.p99),
    reading('waited for a processor', '%', measurement.pacedStarved * PERCENT),
    reading(MEMORY, 'MB', peakResidentBytes / BYTES_PER_MEGABYTE),
    reading(FAILURES, '', throughput.failures + paced.failures),
  ];
}

/** Combines the rounds of one arm. */
function resultOf(arm: ProxyArm, rounds: readonly ProxyMeasurement[][]): ArmResult {
  const name = armName(arm);
  const readings = rounds.map((round) => {
    const own = round.find((measurement) => measurement.arm === name) as ProxyMeasurement;
    return readingsOf(own, round[0] as ProxyMeasurement);
  });
  return { arm: name, baseline: arm.kind !== 'router', measures: gather(readings) };
}

async function run(context: ExperimentContext): Promise<ExperimentResult> {
  const rounds: ProxyMeasurement[][] = [];
  const loads: string[] = [];
  for (const seed of context.seeds) {
    loads.push((loadavg()[0] ?? 0).toFixed(1));
    rounds.push(await measureRound({ ...DEFAULT_PROXY_OPTIONS, arms: ARMS }));
    context.progress(`round ${seed} done`);
  }
  const arms = ARMS.map((arm) => resultOf(arm, rounds));
  const routers = [KOA_ROUTER, NODE_ROUTER, LARGE_ROUTER].map(armName);
  const { connections, requestsPerSecond, answerBytes, upstreams } = DEFAULT_PROXY_OPTIONS;
  return {
    arms,
    plotted: [THROUGHPUT, PROCESSOR_TIME, PACED_P99, MEMORY],
    targets: routers.flatMap((name) => [
      target(`${name}: keyed GETs a second`, valuesOf(arms, name, THROUGHPUT), '>=', THROUGHPUT_WANTED),
      target(`${name}: added p99`, valuesOf(arms, name, ADDED_P99), '<=', ADDED_P99_WANTED, 'ms'),
      target(`${name}: peak memory`, valuesOf(arms, name, MEMORY), '<=', MEMORY_WANTED, 'MB'),
      targetForAll(`${name}: failures`, valuesOf(arms, name, FAILURES), 0),
    ]),
    notes: [
      `Real processes on one machine; ${connections} connections, answers of ${answerBytes} bytes, ${upstreams} upstreams.`,
      `Latency at ${requestsPerSecond} requests a second sent at fixed times, counted from when each was due.`,
      'Added latency is the difference from the direct arm of the same round. Seeds only count rounds.',
      'Waited for a processor: share of the open loop in which the process under test was runnable but had no processor.',
      `Load average of the machine before each round: ${loads.join(', ')}.`,
    ],
  };
}

export const experiment: Experiment = {
  name: 'proxy',
  summary:
    'one router on one core in real processes, against upstreams called directly; HTTP libraries compared',
  defaultDeployment: 'recife',
  run,
};
