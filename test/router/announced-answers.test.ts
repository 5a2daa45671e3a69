/** Caller status for each way in which an upstream without the project's library may answer or fail to answer. */
import type { Socket } from 'node:net';
import { expect } from 'chai';
import { BENCH_IDENTITY } from '../../src/dev/bench/proxy/bench-identity.js';
import { ControlStandin } from '../../src/dev/bench/proxy/control-standin.js';
import type { RouteDefinition } from '../../src/model/declaration.js';
import type { RoutingSnapshot } from '../../src/registry/types.js';
import { RouterDaemon } from '../../src/router/router-daemon.js';
import { createRouterNode } from '../../src/routing/index.js';
import { callRouter } from '../platform/announced-upstream.js';
import { service, upstream } from '../routing/router-harness.js';
import { LogRecorder } from './log-recorder.js';
import { type ScriptedRequest, ScriptedUpstream } from './scripted-upstream.js';

const BODY = 'the whole sheet';

function route(name: string, repeatable: boolean): RouteDefinition {
  return {
    name,
    host: 'menu.example',
    prefix: `/${name}/`,
    repeatable,
    timeoutMillis: 1000,
    targetMillis: 200,
    maxAttempts: 2,
    priority: 1,
    split: [{ service: 'menu', weight: 1 }],
  };
}

function snapshotWith(address: string): RoutingSnapshot {
  const announced = { slots: 2, warmupMillis: 0 };
  return {
    revision: 3,
    services: [service('menu')],
    upstreams: [{ ...upstream('menu-1', 'menu', { address, announced }), incarnation: 'menu-1' }],
    shards: [],
    routes: ['reads', 'orders'].map((name) => ({ definition: route(name, name === 'reads'), revision: 2 })),
    declaration: null,
    ranges: [],
    suspects: [],
  };
}

function idOf({ headers }: ScriptedRequest): string {
  return headers.get('ternmount-request-id') ?? '';
}

function head(request: ScriptedRequest, status: string, lines: readonly string[] = []): string {
  return [`HTTP/1.1 ${status}`, `ternmount-request-id: ${idOf(request)}`, ...lines, '', ''].join('\r\n');
}

function writeWhole(request: ScriptedRequest, status = '200 OK', lines: readonly string[] = []): void {
  request.socket.write(head(request, status, [...lines, `content-length: ${BODY.length}`]) + BODY);
}

/** Resets the connection after a delay, so that the bytes written before are sent first. */
function resetSoon(socket: Socket): void {
  setTimeout(() => socket.resetAndDestroy(), 30);
}

interface AnswerCase {
  readonly name: string;
  /** How the upstream handles each request; `attempt` counts from 0. */
  readonly script: (request: ScriptedRequest, attempt: number) => void;
  /** Status that the caller of a read gets. */
  readonly reads: number;
  /** Status that the caller of an order gets. */
  readonly orders: number;
  /** Number of requests that reach the upstream for an order. */
  readonly orderArrivals: number;
}

const CASES: readonly AnswerCase[] = [
  {
    name: 'a whole answer',
    script: (request) => writeWhole(request),
    reads: 200,
    orders: 200,
    orderArrivals: 1,
  },
  {
    name: 'an application error',
    script: (request) => writeWhole(request, '500 Internal Server Error'),
    reads: 500,
    orders: 500,
    orderArrivals: 1,
  },
  {
    name: 'no length, then a close',
    script: (request) => request.socket.end(head(request, '200 OK') + BODY),
    reads: 200,
    orders: 200,
    orderArrivals: 1,
  },
  {
    name: 'no length, then a reset',
    script: (request) => {
      request.socket.write(head(request, '200 OK') + BODY);
      resetSoon(request.socket);
    },
    reads: 502,
    orders: 502,
    orderArrivals: 1,
  },
  {
    name: 'a length, then a reset in the middle',
    script: (request) => {
      request.socket.write(head(request, '200 OK', ['content-length: 100']) + BODY);
      resetSoon(request.socket);
    },
    reads: 502,
    orders: 502,
    orderArrivals: 1,
  },
  {
    name: 'the answer to another request',
    script: ({ socket }) =>
      socket.write('HTTP/1.1 200 OK\r\nternmount-request-id: other\r\ncontent-length: 2\r\n\r\nno'),
    reads: 502,
    orders: 502,
    orderArrivals: 1,
  },
  {
    name: 'bytes that are not HTTP',
    script: ({ socket }) => socket.write('these are no headers\r\n\r\n'),
    reads: 502,
    orders: 502,
    orderArrivals: 1,
  },
  {
    name: 'a reset before any answer, once',
    script: (request, attempt) => (attempt === 0 ? request.socket.resetAndDestroy() : writeWhole(request)),
    reads: 200,
    orders: 502,
    orderArrivals: 1,
  },
  {
    name: 'a not-run header, once',
    script: (request, attempt) =>
      attempt === 0
        ? writeWhole(request, '503 Service Unavailable', ['ternmount-not-run: 1'])
        : writeWhole(request),
    reads: 200,
    orders: 200,
    orderArrivals: 2,
  },
  {
    name: 'a not-run header, always',
    script: (request) => writeWhole(request, '503 Service Unavailable', ['ternmount-not-run: 1']),
    reads: 503,
    orders: 503,
    orderArrivals: 2,
  },
  {
    name: 'an overload without the not-run header',
    script: (request) => writeWhole(request, '503 Service Unavailable'),
    reads: 503,
    orders: 503,
    orderArrivals: 1,
  },
  {
    name: 'more than one answer',
    script: (request) => {
      writeWhole(request);
      request.socket.write('HTTP/1.1 200 OK\r\nternmount-request-id: late\r\ncontent-length: 2\r\n\r\nno');
    },
    reads: 200,
    orders: 200,
    orderArrivals: 1,
  },
];

async function startRouter() {
  const server = await new ScriptedUpstream().start();
  const control = new ControlStandin(snapshotWith(server.address));
  const daemon = new RouterDaemon(
    {
      ...BENCH_IDENTITY,
      router: 'r1',
      zone: 'a',
      listen: '127.0.0.1:0',
      admin: '127.0.0.1:0',
      control: [await control.start()],
      byRoutes: true,
      timings: { probeMillis: 0 },
    },
    createRouterNode,
    'koa',
    new LogRecorder(),
  );
  return { server, control, daemon };
}

describe('answers of announced upstreams', () => {
  for (const { name, script, reads, orders, orderArrivals } of CASES) {
    it(name, async () => {
      const { server, control, daemon } = await startRouter();
      await daemon.start();
      try {
        for (const [path, expected] of [
          ['reads', reads],
          ['orders', orders],
        ] as const) {
          let attempt = 0;
          server.requests.length = 0;
          server.script = (request) => {
            script(request, attempt);
            attempt += 1;
          };
          const answer = await callRouter(daemon.address, `/${path}/1`, { id: `q-${path}`, deadline: 900 });
          expect(answer.status, path).to.equal(expected);
          if (expected === 200) {
            expect(answer.body).to.equal(BODY);
          }
          if (path === 'orders') {
            expect(server.requests.length).to.equal(orderArrivals);
          }
        }
      } finally {
        await daemon.stop();
        await control.stop();
        await server.stop();
      }
    });
  }
});

describe('upstream notices in the head of an answer', () => {
  const limit = 'ternmount-limit: 1000000';
  const cases: readonly {
    readonly name: string;
    readonly script: (request: ScriptedRequest) => void;
    readonly limited: number;
  }[] = [
    { name: 'a success', script: (request) => writeWhole(request, '200 OK', [limit]), limited: 1 },
    {
      name: 'a failure',
      script: (request) => writeWhole(request, '500 Internal Server Error', [limit]),
      limited: 1,
    },
    {
      name: 'a rejection',
      script: (request) => writeWhole(request, '503 Service Unavailable', ['ternmount-not-run: 1', limit]),
      limited: 1,
    },
    {
      name: 'an answer without a length',
      script: (request) => request.socket.end(head(request, '200 OK', [limit]) + BODY),
      limited: 1,
    },
    {
      name: 'an answer that breaks off',
      script: (request) => {
        request.socket.write(head(request, '200 OK', ['content-length: 100', limit]) + BODY);
        resetSoon(request.socket);
      },
      limited: 1,
    },
    {
      name: 'another run at its address',
      script: (request) => writeWhole(request, '421 Misdirected Request', [limit]),
      limited: 0,
    },
  ];

  for (const { name, script, limited } of cases) {
    it(`are applied ${limited} times: ${name}`, async () => {
      const { server, control, daemon } = await startRouter();
      await daemon.start();
      try {
        server.script = script;
        await callRouter(daemon.address, '/orders/1', { id: 'q-1', deadline: 900 });
        expect(daemon.status().limited).to.equal(limited);
      } finally {
        await daemon.stop();
        await control.stop();
        await server.stop();
      }
    });
  }
});
