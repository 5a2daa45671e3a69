/** Measures the latency that a claim in the replicated ledger adds to a non-repeatable request, and claim throughput. */
import { loadavg } from 'node:os';
import { setTimeout as sleep } from 'node:timers/promises';
import { gather, type Reading, reading, targetForAll, valuesOf } from '../arms.js';
import type { ArmResult, Experiment, ExperimentContext, ExperimentResult } from '../experiment.js';
import { LedgerCluster, MEMBER_NUMBERS } from '../ledger/ledger-cluster.js';
import { BenchChild } from '../proxy/child-process.js';
import type { LoadResult, LoadRun } from '../proxy/load-run.js';

const REPEATABLE = 'unclaimed';
const CLAIMED = 'claimed';
const ANSWER_BYTES = 1024;
const PACED_PER_SECOND = 200;
const PACED_CONNECTIONS = 64;
/** Connection counts of the closed loops; each connection waits for its claim. */
const CLOSED_CONNECTIONS = [1, 16, 64, 256] as const;
const WARM_UP_MILLIS = 2000;
const MEASURED_MILLIS = 3000;
const SERVING_POLL_MILLIS = 100;

interface Round {
  readonly unclaimed: Reading[];
  readonly claimed: Reading[];
}

function runOf(router: string, service: string, changes: Partial<LoadRun>): LoadRun {
  return {
    target: router,
    connections: PACED_CONNECTIONS,
    durationMillis: MEASURED_MILLIS,
    requestsPerSecond: null,
    service,
    keys: 10_000,
    headers: {},
    method: 'POST',
    claimed: service === CLAIMED,
    answerBytes: ANSWER_BYTES,
    ...changes,
  };
}

/** Resolves once a request of each service is answered. */
async function untilServing(cluster: LedgerCluster): Promise<void> {
  for (const service of [REPEATABLE, CLAIMED]) {
    const ready = async (): Promise<boolean> => {
      const response = await fetch(`http://${cluster.router}/${service}/0`, {
        method: 'POST',
        headers: { 'idempotency-key': crypto.randomUUID(), 'idempotency-issued-at': `${Date.now()}` },
      });
      await response.arrayBuffer();
      return response.ok;
    };
    while (!(await ready())) {
      await sleep(SERVING_POLL_MILLIS);
    }
  }
}

async function measureService(load: BenchChild, router: string, service: string): Promise<LoadResult[]> {
  await load.load(runOf(router, service, { durationMillis: WARM_UP_MILLIS }));
  const results = [await load.load(runOf(router, service, { requestsPerSecond: PACED_PER_SECOND }))];
  for (const connections of CLOSED_CONNECTIONS) {
    results.push(await load.load(runOf(router, service, { connections })));
  }
  return results;
}

function readingsOf(results: readonly LoadResult[], baseline: readonly LoadResult[]): Reading[] {
  const [paced, ...closed] = results as [LoadResult, ...LoadResult[]];
  const pacedBaseline = baseline[0] as LoadResult;
  return [
    reading('p50', 'ms', paced.p50),
    reading('p99', 'ms', paced.p99),
    reading('added p50', 'ms', paced.p50 - pacedBaseline.p50),
    reading('added p99', 'ms', paced.p99 - pacedBaseline.p99),
    ...closed.map(({ perSecond }, index) =>
      reading(`${CLOSED_CONNECTIONS[index]} connections`, '1/s', perSecond),
    ),
    reading(
      'failures',
      '',
      results.reduce((sum, { failures }) => sum + failures, 0),
    ),
  ];
}

async function runRound(): Promise<Round> {
  const cluster = new LedgerCluster(
    [
      { name: REPEATABLE, repeatable: true },
      { name: CLAIMED, repeatable: false },
    ],
    ANSWER_BYTES,
  );
  const load = await BenchChild.start({ kind: 'load' });
  try {
    await cluster.start();
    await untilServing(cluster);
    const unclaimed = await measureService(load, cluster.router, REPEATABLE);
    const claimed = await measureService(load, cluster.router, CLAIMED);
    return { unclaimed: readingsOf(unclaimed, unclaimed), claimed: readingsOf(claimed, unclaimed) };
  } finally {
    await load.stop();
    await cluster.stop();
  }
}

async function run(context: ExperimentContext): Promise<ExperimentResult> {
  const rounds: Round[] = [];
  const loads: string[] = [];
  for (const seed of context.seeds) {
    loads.push((loadavg()[0] ?? 0).toFixed(1));
    rounds.push(await runRound());
    context.progress(`round ${seed} done`);
  }
  const arms: ArmResult[] = [
    {
      arm: 'repeatable, no claim',
      baseline: true,
      measures: gather(rounds.map(({ unclaimed }) => unclaimed)),
    },
    { arm: 'claimed', baseline: false, measures: gather(rounds.map(({ claimed }) => claimed)) },
  ];
  return {
    arms,
    targets: [targetForAll('failures with claims', valuesOf(arms, 'claimed', 'failures'), 0)],
    notes: [
      `${MEMBER_NUMBERS.length} control members with fsync on one disk, one router, one upstream for each service; real processes.`,
      `Latency at ${PACED_PER_SECOND} POSTs a second sent at fixed times; closed loops by number of connections.`,
      'A claimed POST is two entries of the log: the claim before it is sent, the outcome after its answer.',
      `Load average of the machine before each round: ${loads.join(', ')}.`,
    ],
  };
}

export const experiment: Experiment = {
  name: 'ledger',
  summary:
    'latency that a claim adds to a POST, and claims a second, with a real control group that syncs to disk',
  defaultDeployment: 'recife',
  run,
};
