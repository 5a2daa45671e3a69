/**
 * LOST. A router is stopped as planned (SIGTERM) while clients that send many safe requests on a connection are slow to read the answers, of
 * 15 kB each. Counted is each request that an upstream ran and whose connection ended without its whole answer, well before its deadline
 * and before the router's grace time had passed.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { Deployment, Operator, RunRecord, ZONES } from '../lib-2/deployment.mjs';
import { pipelinedRequests } from '../lib-2/pipelined-client.mjs';
import { Upstream } from '../lib-2/upstream.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const GRACE_MILLIS = 6000;
const DEADLINE_MILLIS = 8741;
const CLIENTS = 5;
const REQUESTS = 450;
const ANSWER_BYTES = 15_000;
const TERM_AT_MILLIS = 500;
/** Clients begin to read this long after they sent their requests. */
const READ_FROM_MILLIS = 4200;
const BYTES_PER_SECOND = 20_000_000;

const record = new RunRecord(process.argv[2]);
const deployment = new Deployment({ routers: 3 });
const upstreams = [];

async function setUp() {
  await deployment.start();
  const service = { name: 'bundle', healthPath: '/health', connections: 510, protocol: 'h1', tls: false };
  const route = { name: 'bulk', host: 'a.example', prefix: '/bulk/', type: 'download', timeoutMillis: 8741, targetMillis: 2731, priority: 1, service: 'bundle', attempts: 2 };
  const limits = { headerBytes: 16384, bodyBytes: 67108864, headerMillis: 3000, idleMillis: 15000 };
  const taken = await new Operator(deployment).order({ method: 'PUT', expected: 0, body: { version: 1, routes: [route], services: [service], limits } });
  if (taken.status !== 200) {
    throw new Error(`the configuration was answered ${taken.status}`);
  }
  for (let place = 0; place < 6; place += 1) {
    const upstream = new Upstream({ deployment, service: 'bundle', zone: ZONES[place % 3], ip: `127.${deployment.net}.${(place % 3) + 1}.${200 + place}`, workMillis: 5, slots: 40, queue: 200, record, answerBytes: ANSWER_BYTES });
    await upstream.start();
    upstreams.push(upstream);
  }
  await deployment.ready();
  // Until the machines are in touch: `contact_ms` after their start.
  await sleep(4000);
}

async function stopOne(router, round) {
  const startedAt = performance.now();
  const clients = Array.from({ length: CLIENTS }, async (_none, place) => {
    const requests = Array.from({ length: REQUESTS }, (_each, position) => ({ id: `${round}-${place}-${position}`, path: '/bulk/1' }));
    record.add('client sent', { round, client: place, first: requests[0].id, last: requests.at(-1).id });
    const got = await pipelinedRequests({ host: router.ip, port: deployment.ports.frontend, requests, readFromMillis: READ_FROM_MILLIS, bytesPerSecond: BYTES_PER_SECOND, limitMillis: DEADLINE_MILLIS, deadlineMillis: DEADLINE_MILLIS });
    const whole = new Set(got.answers.filter(({ state }) => state === 'whole').map(({ id }) => id));
    const hasRun = ({ id }) => upstreams.some(({ ran }) => ran.has(id));
    const lost = got.end === 'limit' ? [] : requests.filter((request) => hasRun(request) && !whole.has(request.id));
    record.add('client got', { round, client: place, end: got.end, millis: got.millis, wholeIds: [...whole], whole: whole.size, ran: requests.filter(hasRun).length, lost: lost.map(({ id }) => id) });
    return { whole: whole.size, lost: lost.length, millis: got.millis };
  });
  await sleep(TERM_AT_MILLIS);
  if (HAS_TROUBLE) {
    router.isHeld = true;
    record.add('SIGTERM', { name: router.name });
    deployment.kill(router, 'planned', 'SIGTERM');
    setTimeout(() => {
      if (router.child !== null && router.isHeld) {
        record.add('SIGKILL after grace_s', { name: router.name });
        deployment.kill(router, 'grace', 'SIGKILL');
      }
    }, GRACE_MILLIS);
  }
  const results = await Promise.all(clients);
  record.add('round', { round, millis: Math.round(performance.now() - startedAt) });
  if (HAS_TROUBLE) {
    await sleep(1500);
    router.isHeld = false;
    if (router.child === null) {
      deployment.launch(router);
    }
    await sleep(2500);
  }
  return results;
}

async function main() {
  await setUp();
  deployment.onEnd = ({ name }, code, signal, reason) => record.add('process ended', { name, code, signal, reason });
  const results = [];
  for (const [place, router] of deployment.routers.entries()) {
    results.push(...(await stopOne(router, place + 1)));
  }
  const sum = (pick) => results.reduce((total, each) => total + pick(each), 0);
  const summary = { trouble: HAS_TROUBLE, connections: results.length, whole: sum(({ whole }) => whole), lost: sum(({ lost }) => lost), connectionsWithLosses: results.filter(({ lost }) => lost > 0).length, longestMillis: Math.max(...results.map(({ millis }) => millis)) };
  record.add('summary', summary);
  console.log(JSON.stringify(summary));
  if (summary.whole < 100 * results.length || (!HAS_TROUBLE && summary.whole < REQUESTS * results.length)) {
    return 2;
  }
  return summary.lost > 0 ? 1 : 0;
}

let code = 2;
try {
  code = await main();
} catch (thrown) {
  record.add('could not run', { message: String(thrown?.stack ?? thrown) });
  console.error(thrown);
}
for (const upstream of upstreams) {
  upstream.stop();
}
await deployment.stop();
record.flush();
process.exit(code);
