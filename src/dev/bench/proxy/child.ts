/** Entry point of the proxy bench's child processes. Its only argument is a `ChildTask` as JSON. */
import { readFileSync } from 'node:fs';
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import type { Address } from '../../../model/identifiers.js';
import { RouterDaemon } from '../../../router/router-daemon.js';
import { createRouterNode } from '../../../routing/index.js';
import { createFence, createNodeHandler } from '../../../upstream/index.js';
import { listenHttp } from '../../standins/http-endpoint.js';
import { BareProxy } from './bare-proxy.js';
import { BENCH_IDENTITY } from './bench-identity.js';
import type { BenchAnswer, BenchRequest, ChildTask, ProcessUsage } from './child-messages.js';
import { LoadGenerator } from './load-generator.js';
import { createPlainUpstream } from './plain-upstream.js';
import { createUpstreamClient } from './upstream-clients.js';

const MICROS_PER_MILLI = 1000;
const NANOS_PER_MILLI = 1_000_000;
const BYTES_PER_KILOBYTE = 1024;
const ANY_PORT: Address = '127.0.0.1:0';
const ROUTER_SETTINGS = { router: 'bench-router', zone: 'bench', listen: ANY_PORT, admin: ANY_PORT } as const;

function send(answer: BenchAnswer): void {
  process.send?.(answer);
}

function usage(): ProcessUsage {
  const { userCPUTime, systemCPUTime, maxRSS } = process.resourceUsage();
  return {
    cpuMillis: (userCPUTime + systemCPUTime) / MICROS_PER_MILLI,
    starvedMillis: starvedMillis(),
    residentBytes: process.memoryUsage.rss(),
    peakResidentBytes: maxRSS * BYTES_PER_KILOBYTE,
  };
}

/** Reads Linux scheduler statistics of the main thread: time on a processor, time waiting for one, time slices. */
function starvedMillis(): number | null {
  try {
    const [, waited] = readFileSync('/proc/self/schedstat', 'utf8').split(' ');
    return Number(waited) / NANOS_PER_MILLI;
  } catch {
    return null;
  }
}

async function handleRequest(request: BenchRequest): Promise<void> {
  if (request.type === 'usage') {
    send({ type: 'usage', usage: usage() });
  } else {
    send({ type: 'load', result: await new LoadGenerator(request.run).start() });
  }
}

async function startUpstream(task: Extract<ChildTask, { kind: 'upstream' }>): Promise<Address[]> {
  const plain = createPlainUpstream(task.answerBytes);
  const listeners =
    task.fencedServices === null
      ? Array.from({ length: task.count }, () => plain)
      : task.fencedServices.map((service) => fenced(plain, service));
  const servers = listeners.map((listener) => listenHttp(listener, ANY_PORT));
  return (await Promise.all(servers)).map((server) => server.address);
}

/** Wraps a listener in the fence of an unkeyed service. */
function fenced(listener: RequestListener, service: string): RequestListener {
  const { cluster } = BENCH_IDENTITY;
  const fence = createFence({ cluster, upstream: service, service, keyed: false });
  return createNodeHandler(fence, (request, response) => {
    request.resume();
    listener(request, response as ServerResponse & { req: IncomingMessage });
  });
}

async function startBareProxy(task: Extract<ChildTask, { kind: 'bare-proxy' }>): Promise<Address[]> {
  const proxy = new BareProxy(createUpstreamClient(task.client), task.upstreams);
  const listener: RequestListener = task.frontEnd === 'koa' ? proxy.koaListener() : proxy.nodeListener();
  return [(await listenHttp(listener, ANY_PORT)).address];
}

async function startRouter(task: Extract<ChildTask, { kind: 'router' }>): Promise<Address[]> {
  const { control, frontEnd } = task;
  const settings = { ...BENCH_IDENTITY, ...ROUTER_SETTINGS, control };
  const daemon = new RouterDaemon(settings, createRouterNode, frontEnd);
  void daemon.failed.then(() => process.exit(1));
  await daemon.start();
  return [daemon.address];
}

async function start(task: ChildTask): Promise<Address[]> {
  switch (task.kind) {
    case 'load':
      return [];
    case 'upstream':
      return startUpstream(task);
    case 'bare-proxy':
      return startBareProxy(task);
    case 'router':
      return startRouter(task);
  }
}

const task = JSON.parse(process.argv[2] ?? 'null') as ChildTask;
process.on('message', (request: BenchRequest) => void handleRequest(request));
process.on('disconnect', () => process.exit(0));
send({ type: 'ready', addresses: await start(task) });
