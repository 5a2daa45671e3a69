/**
 * LOST. Half of the upstreams of one service break off 5 in 100 of their answers: these have no length, and their connection is reset after a
 * part of the body (`garble`, `unframed`). Clients of that service send ordinary reads for answers of some hundred kilobytes. Routers end
 * by themselves and lose what they had passed on for others too: the requests that can't be repeated, on kept connections, to the sound
 * upstreams of another service.
 */
import { readFileSync } from 'node:fs';
import http from 'node:http';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { call, Deployment, Operator, RunRecord } from '../lib-2/deployment.mjs';
import { sealOf, Upstream } from '../lib-2/upstream.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** Dose of the disruption in the site file: `x` 0.05 of the answers, `for_s` 5; share of the upstreams by `kinds`: 0.5. */
const BREAK_EACH = 20;
const TROUBLE_MILLIS = 5000;
const ROUNDS = 4;
const READERS = 36;
const READ_DEADLINE_MILLIS = 8741;
/** The largest answers of `bulk-fetch` have 540,000 bytes. */
const ANSWER_BYTES = { least: 280_000, most: 540_000 };
const ORDERING_CLIENTS = 60;
const ORDER_DEADLINE_MILLIS = 6517;
/** `contact_ms`: a machine is in touch only so long after its start. */
const CONTACT_MILLIS = 3000;
/** The rule allows three, of one machine. */
const ALLOWED_LOSSES = 3;

const record = new RunRecord(process.argv[2]);
const deployment = new Deployment({ routers: 3 });
const upstreams = [];
let breaksUntil = 0;
let broken = 0;
let answered = 0;

function answerBulk({ response, id, upstream }) {
  const size = ANSWER_BYTES.least + Math.floor(Math.random() * (ANSWER_BYTES.most - ANSWER_BYTES.least));
  const bytes = Buffer.alloc(size, `${id} `);
  const headers = { 'Request-Id': id, 'Response-Seal': sealOf(upstream.id, bytes) };
  upstream.answers = (upstream.answers ?? 0) + 1;
  answered += 1;
  if (!upstream.isAffected || performance.now() >= breaksUntil || upstream.answers % BREAK_EACH !== 0) {
    response.writeHead(200, { ...headers, 'content-length': size });
    response.end(bytes);
    return;
  }
  broken += 1;
  const part = 1 + Math.floor(Math.random() * (size - 1));
  record.add('broken off', { upstream: upstream.id, id, sent: part, of: size });
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.writeHead(200, headers);
  response.write(bytes.subarray(0, part), () => response.socket?.resetAndDestroy());
}

async function startUpstreams(service, count, options) {
  const started = Array.from({ length: count }, (_none, place) => {
    const zone = ['boa-viagem', 'derby', 'recife-antigo'][place % 3];
    const ip = `127.${deployment.net}.${(place % 3) + 1}.${(service === 'bundle' ? 150 : 200) + place}`;
    return new Upstream({ deployment, service, zone, ip, record, ...options });
  });
  await Promise.all(started.map((upstream) => upstream.start()));
  upstreams.push(...started);
  return started;
}

async function setUp() {
  await deployment.start();
  const services = ['bundle', 'recharge'].map((name) => ({ name, healthPath: '/health', connections: 510, protocol: 'h1', tls: false }));
  const terms = { host: 'a.example', priority: 1, attempts: 2 };
  const routes = [
    { ...terms, name: 'bulk', prefix: '/bulk/', type: 'download', timeoutMillis: 8741, targetMillis: 2731, service: 'bundle' },
    { ...terms, name: 'order', prefix: '/order/', type: 'unsafe', timeoutMillis: 6517, targetMillis: 1086, service: 'recharge' },
  ];
  const limits = { headerBytes: 16384, bodyBytes: 67108864, headerMillis: 3000, idleMillis: 15000 };
  const taken = await new Operator(deployment).order({ method: 'PUT', expected: 0, body: { version: 1, routes, services, limits } });
  if (taken.status !== 200) {
    throw new Error(`the configuration was answered ${taken.status}`);
  }
  const bundle = await startUpstreams('bundle', 12, { workMillis: 60, slots: 6, queue: 24, answer: answerBulk });
  bundle.forEach((upstream, place) => {
    upstream.isAffected = place % 2 === 0;
  });
  await startUpstreams('recharge', 9, { workMillis: 290, slots: 12, queue: 60, answerBytes: 1500 });
  await deployment.ready();
  // Until the machines are in touch: `contact_ms` after their start.
  await sleep(4000);
}

/** A client that sends orders one after the other on one kept connection. */
class OrderingClient {
  constructor(place, router) {
    this.place = place;
    this.router = router;
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    this.count = 0;
    this.lost = [];
    this.statuses = {};
  }

  async run(isOver) {
    while (!isOver()) {
      this.count += 1;
      const id = `order-${this.place}-${this.count}`;
      const sentAt = performance.now();
      const isInTouch = sentAt - this.router.launchedAt >= CONTACT_MILLIS;
      record.add('order sent', { id, router: this.router.name, isInTouch });
      const { status, isKept, how } = await this.#send(id);
      this.statuses[status] = (this.statuses[status] ?? 0) + 1;
      const isInTime = performance.now() - sentAt < ORDER_DEADLINE_MILLIS;
      if (status === 0) {
        const run = upstreams.find(({ ran }) => ran.has(id));
        record.add('connection ended without an answer', { id, isKept, how, ranAt: run?.id ?? null, millis: Math.round(performance.now() - sentAt) });
        if (isKept && run !== undefined && isInTime && isInTouch) {
          this.lost.push(id);
        }
        await sleep(100);
      } else {
        record.add('order answered', { id, status });
      }
    }
    this.agent.destroy();
  }

  #send(id) {
    return new Promise((done) => {
      const body = Buffer.alloc(300, 'o');
      const request = http.request({
        agent: this.agent, host: this.router.ip, port: deployment.ports.frontend, method: 'POST', path: '/order/1',
        headers: { Host: 'a.example', 'Request-Id': id, 'Request-Deadline-Ms': String(ORDER_DEADLINE_MILLIS), 'content-length': body.length },
      });
      const limit = setTimeout(() => request.destroy(new Error('deadline')), ORDER_DEADLINE_MILLIS);
      const end = (result) => {
        clearTimeout(limit);
        done({ isKept: request.reusedSocket, ...result });
      };
      request.on('error', ({ message }) => end({ status: 0, how: message }));
      request.on('response', (response) => {
        response.resume();
        response.on('end', () => end({ status: response.statusCode }));
        response.on('error', ({ message }) => end({ status: 0, how: message }));
      });
      request.end(body);
    });
  }
}

/** Sends one read after the other, each on a connection of its own. */
async function read(place, until, results) {
  let count = 0;
  while (performance.now() < until) {
    count += 1;
    const router = deployment.routers[place % deployment.routers.length];
    const id = `read-${Math.round(until)}-${place}-${count}`;
    record.add('read sent', { id, router: router.name });
    const got = await call({ host: router.ip, port: deployment.ports.frontend, method: 'GET', path: '/bulk/1', headers: { Host: 'a.example', 'Request-Id': id, 'Request-Deadline-Ms': String(READ_DEADLINE_MILLIS) }, timeoutMillis: READ_DEADLINE_MILLIS });
    record.add('read answered', { id, status: got.status, bytes: got.body.length, error: got.error });
    results[got.status] = (results[got.status] ?? 0) + 1;
    await sleep(got.status === 0 ? 200 : 20);
  }
}

/** The line of the process's log that says why it ended. */
function lastError(name) {
  const lines = readFileSync(join(deployment.folder, name, 'log.txt'), 'utf8').split('\n');
  return lines.findLast((line) => /^\w*Error/.test(line)) ?? null;
}

async function main() {
  await setUp();
  const ends = [];
  deployment.onEnd = ({ name }, code, signal, reason) => {
    if (reason === 'by itself' && !deployment.stopping) {
      ends.push({ name, code, signal });
      record.add('process ended by itself', { name, code, signal, words: lastError(name) });
    }
  };
  const ordering = Array.from({ length: ORDERING_CLIENTS }, (_none, place) => new OrderingClient(place, deployment.routers[place % deployment.routers.length]));
  let isOver = false;
  const orders = ordering.map((client) => client.run(() => isOver));
  const reads = {};
  await sleep(1000);
  for (let round = 1; round <= ROUNDS && ends.length === 0; round += 1) {
    const until = performance.now() + TROUBLE_MILLIS;
    breaksUntil = HAS_TROUBLE ? until : 0;
    record.add('round', { round });
    await Promise.all(Array.from({ length: READERS }, (_none, place) => read(place, until, reads)));
    await sleep(2000);
  }
  isOver = true;
  await Promise.all(orders);
  const lost = ordering.flatMap((client) => client.lost);
  const lostByRouter = Object.fromEntries(
    deployment.routers.map(({ name }) => [name, ordering.filter((client) => client.router.name === name).flatMap((client) => client.lost).length]),
  );
  const statuses = {};
  for (const client of ordering) {
    for (const [status, count] of Object.entries(client.statuses)) {
      statuses[status] = (statuses[status] ?? 0) + count;
    }
  }
  const summary = { trouble: HAS_TROUBLE, processesEndedByThemselves: ends.length, ordersLost: lost.length, lostByRouter, orders: statuses, reads, bulkAnswers: answered, brokenOff: broken };
  record.add('summary', summary);
  for (const id of lost) {
    record.add('LOST', { id });
  }
  console.log(JSON.stringify(summary));
  if (answered < READERS || (HAS_TROUBLE && broken === 0) || (statuses[200] ?? 0) < 100) {
    return 2;
  }
  return Math.max(...Object.values(lostByRouter)) > ALLOWED_LOSSES ? 1 : 0;
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
