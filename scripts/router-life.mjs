/**
 * What one router costs over its life, where it has few requests and many upstreams: processor time until it is ready, while it
 * is idle, and in each second under load, and its memory. `router-life.mjs [REQUESTS_A_SECOND [UPSTREAMS [SECONDS [NEWS]]]]`, after
 * `npm run build` and `node scripts/bundle/bundle.mjs`. Runs the bundle with the flags of the deploy file; a third of the requests
 * have keys. Everything listens on loopback addresses.
 */
import { spawn } from 'node:child_process';
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, createServer, request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { ControlStandin } from '../build/src/dev/bench/proxy/control-standin.js';

const [rate = 8, upstreamCount = 600, seconds = 20, newsRate = 0] = process.argv.slice(2).map(Number);
/** Ranges that change owner in one round of news. */
const CHANGES_A_ROUND = 3;
const WORK_MILLIS = 20;
const IDLE_MILLIS = 3000;
const READY_MILLIS = 8000;
const RANGES = 800;
const KEYS = 65_536;
const ZONES = 5;
const CALLER_PORT = 8002;
const ADMIN_PORT = 8001;
const NANOS_PER_MILLI = 1e6;
const KILOBYTES_PER_MEGABYTE = 1024;
const ANSWER = Buffer.alloc(1500, 'x');
const HOSTS = ['keyed.example', 'plain.example', 'other.example'];
const SERVICES = ['keyed', 'plain', 'other'];

let connections = 0;

async function startUpstream(index) {
  const server = createServer({ keepAliveTimeout: 10_000 }, (incoming, response) => {
    const headers = { 'request-id': incoming.headers['request-id'] ?? '', 'server-load': '1,0,2' };
    setTimeout(() => response.writeHead(200, headers).end(ANSWER), WORK_MILLIS);
  });
  server.on('connection', () => {
    connections += 1;
  });
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  const id = `run-${index}`;
  const definition = {
    id,
    service: SERVICES[index % SERVICES.length],
    address: `127.0.0.1:${server.address().port}`,
    zone: `zone-${index % ZONES}`,
    mayHold: [],
    leaving: false,
    announced: { slots: 2, warmupMillis: 0 },
  };
  return { definition, revision: 10, incarnation: id };
}

function serviceOf(name) {
  const keyed = name === 'keyed';
  const definition = {
    name,
    keyed,
    repeatable: true,
    priority: 'interactive',
    deadlineMillis: 30_000,
    slotsPerUpstream: 2,
    retryBudget: 0.1,
    queueLimit: 1000,
    holdLimitMillis: 5000,
    coalesce: false,
    wholeAnswerBytes: 65_536,
    retentionMillis: 0,
    placement: { unavailability: 1, imbalance: 1, churn: 1 },
    movesPerMinute: 60,
    keyspaces: keyed ? [{ name: 'range', kind: 'range', match: '', shards: 0 }] : [],
    policy: [],
  };
  return { definition, revision: 5, generation: 5 };
}

function snapshotOf(upstreams) {
  const owners = upstreams.filter(({ definition }) => definition.service === 'keyed');
  const startOf = (range) => Math.floor((range * KEYS) / RANGES);
  return {
    revision: 1000,
    services: SERVICES.map(serviceOf),
    upstreams,
    shards: [],
    routes: SERVICES.map((service, index) => ({
      definition: {
        name: service,
        host: HOSTS[index],
        prefix: '/',
        repeatable: true,
        timeoutMillis: 4000,
        targetMillis: 600,
        maxAttempts: 2,
        priority: 1,
        split: [{ service, weight: 1 }],
      },
      revision: 7,
    })),
    declaration: null,
    ranges: Array.from({ length: RANGES }, (_, range) => ({
      service: 'keyed',
      from: startOf(range),
      to: startOf(range + 1) - 1,
      owner: owners[range % owners.length].definition.id,
      fence: 20 + range,
      former: null,
      revision: 20,
    })),
  };
}

/** A loopback address of this run's own, so that runs side by side don't meet. */
function ownHost() {
  return `127.202.${Math.floor(process.pid / 250) % 250}.${1 + (process.pid % 250)}`;
}

function startRouter(folder, control, host) {
  const secret = join(folder, 'secret');
  const file = join(folder, 'router.yaml');
  const headers =
    'headers:\n  requestId: Request-Id\n  instance: Target-Instance\n  key: Shard-Key\n  load: Server-Load\n';
  const settings = `cluster: bench\nrouter: router-1\nzone: zone-1\nlisten: ${host}:${CALLER_PORT}\nadmin: ${host}:${ADMIN_PORT}\ncontrol: ["${control}"]\nsecretFile: ${secret}\n${headers}byRoutes: true\nwhenOutOfTouch: serve\nfirstConfiguration: 0s\nprobeInterval: 0s\n`;
  writeFileSync(secret, 'only-for-the-bench');
  writeFileSync(file, settings);
  const deploy = readFileSync('deploy/system.toml', 'utf8');
  const flags = /run = "node ([^"]*) target\/ternmount\.cjs router/.exec(deploy)[1].split(' ');
  const words = [...flags, 'target/ternmount.cjs', 'router', 'run', '--settings', file];
  return spawn(process.execPath, words, { stdio: ['ignore', 'ignore', 'inherit'] });
}

/** Processor time of all threads of a process so far, in milliseconds. */
function cpuMillis(pid) {
  const nanos = readdirSync(`/proc/${pid}/task`).map((thread) =>
    Number(readFileSync(`/proc/${pid}/task/${thread}/schedstat`, 'utf8').split(' ')[0]),
  );
  return nanos.reduce((sum, each) => sum + each, 0) / NANOS_PER_MILLI;
}

function peakMegabytes(pid) {
  const [, kilobytes] = /VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
  return Math.round(Number(kilobytes) / KILOBYTES_PER_MEGABYTE);
}

async function untilReady(host) {
  for (const end = performance.now() + READY_MILLIS; performance.now() < end; await sleep(20)) {
    const response = await fetch(`http://${host}:${ADMIN_PORT}/healthz`).catch(() => null);
    if (response?.status === 200) {
      return;
    }
  }
  throw new Error('the router is not ready in time');
}

const outcomes = { whole: 0, other: 0 };
const agent = new Agent({ keepAlive: true, maxSockets: 40 });

function send(address, number) {
  const host = HOSTS[number % HOSTS.length];
  const headers = { host, 'request-id': `request-${number}`, 'shard-key': String((number * 7919) % KEYS) };
  const sent = request({ host: address, port: CALLER_PORT, path: '/item', headers, agent }, (response) => {
    response.resume();
    response.on('end', () => {
      outcomes[response.statusCode === 200 ? 'whole' : 'other'] += 1;
    });
  });
  sent.on('error', () => {
    outcomes.other += 1;
  });
  sent.end();
}

/** Moves ranges between owners, so many rounds of news a second. */
function beginNews(control, snapshot) {
  const ranges = [...snapshot.ranges];
  const owners = ranges.map(({ owner }) => owner);
  let { revision } = snapshot;
  const tell = () => {
    const changes = Array.from({ length: CHANGES_A_ROUND }, (_, index) => {
      const place = (revision * 31 + index * 97) % ranges.length;
      const range = ranges[place];
      const owner = owners[(place + revision) % owners.length];
      const record = { ...range, owner, fence: revision + 1, revision: revision + 1 };
      ranges[place] = record;
      return { type: 'range', service: record.service, from: record.from, record };
    });
    control.tell({ from: revision, to: revision + 1, changes });
    revision += 1;
  };
  return newsRate === 0 ? undefined : setInterval(tell, 1000 / newsRate);
}

/** Sends at fixed times; gives the processor time of each second. */
async function load(host, pid) {
  const begin = performance.now();
  const perSecond = [];
  let before = cpuMillis(pid);
  for (let sent = 0; sent < rate * seconds; sent += 1) {
    send(host, sent);
    await sleep(Math.max(0, begin + ((sent + 1) * 1000) / rate - performance.now()));
    if ((sent + 1) % rate === 0) {
      const now = cpuMillis(pid);
      perSecond.push(now - before);
      before = now;
    }
  }
  return perSecond;
}

function meanOf(values) {
  return (values.reduce((sum, value) => sum + value, 0) / values.length).toFixed(1);
}

const upstreams = await Promise.all(
  Array.from({ length: upstreamCount }, (_, index) => startUpstream(index)),
);
const snapshot = snapshotOf(upstreams);
const control = new ControlStandin(snapshot);
const folder = mkdtempSync(join(tmpdir(), 'router-life-'));
const host = ownHost();
const router = startRouter(folder, await control.start(), host);
try {
  await untilReady(host);
  const ready = cpuMillis(router.pid);
  await sleep(IDLE_MILLIS);
  const idle = cpuMillis(router.pid) - ready;
  beginNews(control, snapshot);
  const perSecond = await load(host, router.pid);
  console.log(
    `ready after ${ready.toFixed(0)} ms of processor time; idle ${(idle / 3).toFixed(1)} ms a second`,
  );
  console.log(
    `first 3 s ${meanOf(perSecond.slice(0, 3))} ms a second, then ${meanOf(perSecond.slice(3))}; by second: ${perSecond.map((millis) => millis.toFixed(0)).join(' ')}`,
  );
  console.log(
    `${outcomes.whole} answered, ${outcomes.other} otherwise; ${connections} connections to upstreams; peak ${peakMegabytes(router.pid)} MB`,
  );
} finally {
  router.kill('SIGKILL');
  rmSync(folder, { recursive: true, force: true });
  process.exit();
}
