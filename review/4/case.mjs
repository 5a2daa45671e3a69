/**
 * LOST. Half of the upstreams of one service give 5 in 100 of their answers no length (`garble`, `unframed`). Clients of that service send
 * several safe requests on a connection and read slowly. The router ends by itself and loses what it had passed on for others too: the
 * requests that can't be repeated, on kept connections, to the sound upstreams of another service.
 */
import { readFileSync } from 'node:fs';
import http from 'node:http';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { Deployment, Operator, RunRecord } from '../lib-2/deployment.mjs';
import { pipelinedRequests } from '../lib-2/pipelined-client.mjs';
import { sealOf, Upstream } from '../lib-2/upstream.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** Dose of the disruption in the site file: `x` 0.05 of the answers, `for_s` 5; share of the upstreams by `kinds`: 0.5. */
const SPOIL_EACH = 20;
const TROUBLE_MILLIS = 5000;
const ROUNDS = 3;
const READERS = 60;
const READER_BYTES_PER_SECOND = 1_500_000;
const LARGE_BYTES = 6_000_000;
const SMALL_BYTES = 60_000;
const SMALL_REQUESTS = 9;
const ORDERING_CLIENTS = 40;
const ORDER_DEADLINE_MILLIS = 6517;
/** The rule allows three. */
const ALLOWED_LOSSES = 3;

const record = new RunRecord(process.argv[2]);
const deployment = new Deployment({ routers: 3 });
const upstreams = [];
let spoilsUntil = 0;
let spoiled = 0;
let answered = 0;

function answerBulk({ request, response, id, upstream }) {
  const size = Number(request.url.split('/')[2]);
  const bytes = Buffer.alloc(size, `${id} `);
  const headers = { 'Request-Id': id, 'Response-Seal': sealOf(upstream.id, bytes) };
  upstream.answers = (upstream.answers ?? 0) + 1;
  answered += 1;
  const isSpoiled = upstream.isAffected && performance.now() < spoilsUntil && upstream.answers % SPOIL_EACH === 0;
  if (isSpoiled) {
    spoiled += 1;
    record.add('answer without length', { upstream: upstream.id, id, bytes: size });
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    response.writeHead(200, headers);
  } else {
    response.writeHead(200, { ...headers, 'content-length': size });
  }
  response.end(bytes);
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
  const bundle = await startUpstreams('bundle', 6, { workMillis: 20, slots: 30, queue: 300, answer: answerBulk });
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

  async run(until) {
    while (performance.now() < until) {
      this.count += 1;
      const id = `order-${this.place}-${this.count}`;
      const sentAt = performance.now();
      const { status, isKept, how } = await this.#send(id);
      this.statuses[status] = (this.statuses[status] ?? 0) + 1;
      const isInTime = performance.now() - sentAt < ORDER_DEADLINE_MILLIS;
      if (status === 0) {
        const run = upstreams.find(({ ran }) => ran.has(id));
        record.add('connection ended without an answer', { id, isKept, how, ranAt: run?.id ?? null, millis: Math.round(performance.now() - sentAt) });
        if (isKept && run !== undefined && isInTime) {
          this.lost.push(id);
        }
        await sleep(100);
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

async function readSlowly(round, place, router) {
  const requests = [LARGE_BYTES, ...Array.from({ length: SMALL_REQUESTS }, () => SMALL_BYTES)].map((bytes, position) => ({
    id: `bulk-${round}-${place}-${position}`,
    path: `/bulk/${bytes}/`,
  }));
  const got = await pipelinedRequests({ host: router.ip, port: deployment.ports.frontend, requests, bytesPerSecond: READER_BYTES_PER_SECOND, limitMillis: 8741 });
  record.add('reader got', { round, place, end: got.end, millis: got.millis, whole: got.answers.filter(({ state }) => state === 'whole').length, of: requests.length });
}

/** The line of the process's log that says why it ended. */
function lastError(name) {
  const lines = readFileSync(join(deployment.folder, name, 'log.txt'), 'utf8').split('\n');
  return lines.findLast((line) => /^\w*Error/.test(line)) ?? null;
}

async function main() {
  await setUp();
  const [router] = deployment.routers;
  const ends = [];
  deployment.onEnd = ({ name }, code, signal, reason) => {
    if (reason === 'by itself' && !deployment.stopping) {
      ends.push({ name, code, signal });
      record.add('process ended by itself', { name, code, signal, words: lastError(name) });
    }
  };
  const startedAt = performance.now();
  const ordering = Array.from({ length: ORDERING_CLIENTS }, (_none, place) => new OrderingClient(place, router));
  const orders = ordering.map((client) => client.run(startedAt + ROUNDS * 10_000 + 1000));
  await sleep(1000);
  for (let round = 1; round <= ROUNDS && ends.length === 0; round += 1) {
    spoilsUntil = HAS_TROUBLE ? performance.now() + TROUBLE_MILLIS : 0;
    record.add('round', { round });
    await Promise.all(Array.from({ length: READERS }, (_none, place) => readSlowly(round, place, router)));
    await sleep(1000);
  }
  if (ends.length > 0) {
    for (const client of ordering) {
      client.run = async () => {};
    }
  }
  await Promise.all(orders);
  const lost = ordering.flatMap((client) => client.lost);
  const statuses = {};
  for (const client of ordering) {
    for (const [status, count] of Object.entries(client.statuses)) {
      statuses[status] = (statuses[status] ?? 0) + count;
    }
  }
  const summary = { trouble: HAS_TROUBLE, processesEndedByThemselves: ends.length, ordersLost: lost.length, orders: statuses, bulkAnswers: answered, withoutLength: spoiled };
  record.add('summary', summary);
  for (const id of lost) {
    record.add('LOST', { id });
  }
  console.log(JSON.stringify(summary));
  if (answered < READERS || (statuses[200] ?? 0) < 100) {
    return 2;
  }
  return lost.length > ALLOWED_LOSSES ? 1 : 0;
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
