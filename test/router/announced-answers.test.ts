/** Caller status for each way in which an upstream without the project's library may answer or fail to answer. */
import type { Socket } from 'node:net';
import { expect } from 'chai';
import { callRouter } from '../platform/announced-upstream.js';
import { ANSWER_BODY, answerHead, RoutedRouter, writeAnswer, writeRefusal } from './routed-router.js';
import type { ScriptedRequest } from './scripted-upstream.js';

/** Above what a router reads whole. */
const LONG_BYTES = 1024 * 1024;

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
    script: (request) => writeAnswer(request),
    reads: 200,
    orders: 200,
    orderArrivals: 1,
  },
  {
    name: 'an application error',
    script: (request) => writeAnswer(request, '500 Internal Server Error'),
    reads: 500,
    orders: 500,
    orderArrivals: 1,
  },
  {
    name: 'a whole answer behind an empty line',
    script: (request) => {
      request.socket.write('\r\n');
      writeAnswer(request);
    },
    reads: 200,
    orders: 200,
    orderArrivals: 1,
  },
  {
    name: 'no length, then a close',
    script: (request) => request.socket.end(answerHead(request, '200 OK') + ANSWER_BODY),
    reads: 200,
    orders: 200,
    orderArrivals: 1,
  },
  {
    name: 'no length, then a reset',
    script: (request) => {
      request.socket.write(answerHead(request, '200 OK') + ANSWER_BODY);
      resetSoon(request.socket);
    },
    reads: 502,
    orders: 502,
    orderArrivals: 1,
  },
  {
    name: 'a length, then a reset in the middle',
    script: (request) => {
      request.socket.write(answerHead(request, '200 OK', ['content-length: 100']) + ANSWER_BODY);
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
    script: (request, attempt) => (attempt === 0 ? request.socket.resetAndDestroy() : writeAnswer(request)),
    reads: 200,
    orders: 502,
    orderArrivals: 1,
  },
  {
    name: 'a not-run header, once',
    script: (request, attempt) =>
      attempt === 0
        ? writeAnswer(request, '503 Service Unavailable', ['ternmount-not-run: 1'])
        : writeAnswer(request),
    reads: 200,
    orders: 200,
    orderArrivals: 2,
  },
  {
    name: 'a not-run header, always',
    script: (request) => writeAnswer(request, '503 Service Unavailable', ['ternmount-not-run: 1']),
    reads: 503,
    orders: 503,
    orderArrivals: 2,
  },
  {
    name: 'an overload without the not-run header',
    script: (request) => writeAnswer(request, '503 Service Unavailable'),
    reads: 503,
    orders: 502,
    orderArrivals: 1,
  },
  {
    name: 'a limit without the not-run header',
    script: (request) => writeAnswer(request, '429 Too Many Requests'),
    reads: 429,
    orders: 502,
    orderArrivals: 1,
  },
  {
    name: 'a timeout without the not-run header',
    script: (request) => writeAnswer(request, '408 Request Timeout'),
    reads: 408,
    orders: 502,
    orderArrivals: 1,
  },
  {
    name: 'a preliminary answer, then a not-run header, once',
    script: (request, attempt) => {
      if (attempt === 0) {
        request.socket.write('HTTP/1.1 103 Early Hints\r\n\r\n');
        writeRefusal(request);
      } else {
        writeAnswer(request);
      }
    },
    reads: 200,
    orders: 200,
    orderArrivals: 2,
  },
  {
    name: 'a not-run header on a preliminary answer alone',
    script: (request) => {
      request.socket.write('HTTP/1.1 103 Early Hints\r\nternmount-not-run: 1\r\n\r\n');
      writeAnswer(request, '503 Service Unavailable');
    },
    reads: 503,
    orders: 502,
    orderArrivals: 1,
  },
  {
    name: 'a not-run header, and a reset in its body',
    script: (request) => {
      const lines = ['ternmount-not-run: 1', 'content-length: 100'];
      request.socket.write(`${answerHead(request, '503 Service Unavailable', lines)}the beginning`);
      resetSoon(request.socket);
    },
    reads: 502,
    orders: 502,
    orderArrivals: 1,
  },
  {
    name: 'a not-run header, and a body shorter than its length',
    script: (request) => {
      const lines = ['ternmount-not-run: 1', `content-length: ${ANSWER_BODY.length + 1}`];
      request.socket.write(answerHead(request, '503 Service Unavailable', lines) + ANSWER_BODY);
    },
    reads: 504,
    orders: 504,
    orderArrivals: 1,
  },
  {
    name: 'a not-run header of another request',
    script: ({ socket }) =>
      socket.write(
        'HTTP/1.1 503 Service Unavailable\r\nternmount-request-id: other\r\nternmount-not-run: 1\r\ncontent-length: 0\r\n\r\n',
      ),
    reads: 502,
    orders: 502,
    orderArrivals: 1,
  },
  {
    name: 'a not-run header without an id',
    script: ({ socket }) =>
      socket.write('HTTP/1.1 400 Bad Request\r\nternmount-not-run: 1\r\ncontent-length: 0\r\n\r\n'),
    reads: 502,
    orders: 502,
    orderArrivals: 1,
  },
  {
    name: 'a not-run header, once, with a body that is too long to be read whole',
    script: (request, attempt) => {
      if (attempt > 0) {
        writeAnswer(request);
        return;
      }
      const lines = ['ternmount-not-run: 1', `content-length: ${LONG_BYTES}`];
      request.socket.write(`${answerHead(request, '503 Service Unavailable', lines)}the beginning`);
    },
    reads: 200,
    orders: 200,
    orderArrivals: 2,
  },
  {
    name: 'more than one answer',
    script: (request) => {
      writeAnswer(request);
      request.socket.write('HTTP/1.1 200 OK\r\nternmount-request-id: late\r\ncontent-length: 2\r\n\r\nno');
    },
    reads: 200,
    orders: 200,
    orderArrivals: 1,
  },
];

describe('answers of announced upstreams', () => {
  for (const { name, script, reads, orders, orderArrivals } of CASES) {
    it(name, async () => {
      const router = await RoutedRouter.start();
      const { server, daemon } = router;
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
            expect(answer.body).to.equal(ANSWER_BODY);
          }
          if (path === 'orders') {
            expect(server.requests.length).to.equal(orderArrivals);
          }
        }
      } finally {
        await router.stop();
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
    { name: 'a success', script: (request) => writeAnswer(request, '200 OK', [limit]), limited: 1 },
    {
      name: 'a failure',
      script: (request) => writeAnswer(request, '500 Internal Server Error', [limit]),
      limited: 1,
    },
    {
      name: 'a rejection',
      script: (request) => writeAnswer(request, '503 Service Unavailable', ['ternmount-not-run: 1', limit]),
      limited: 1,
    },
    {
      name: 'an answer without a length',
      script: (request) => request.socket.end(answerHead(request, '200 OK', [limit]) + ANSWER_BODY),
      limited: 1,
    },
    {
      name: 'an answer that breaks off',
      script: (request) => {
        request.socket.write(answerHead(request, '200 OK', ['content-length: 100', limit]) + ANSWER_BODY);
        resetSoon(request.socket);
      },
      limited: 1,
    },
    {
      name: 'another run at its address',
      script: (request) => writeAnswer(request, '421 Misdirected Request', [limit]),
      limited: 0,
    },
  ];

  for (const { name, script, limited } of cases) {
    it(`are applied ${limited} times: ${name}`, async () => {
      const router = await RoutedRouter.start();
      const { server, daemon } = router;
      try {
        server.script = script;
        await callRouter(daemon.address, '/orders/1', { id: 'q-1', deadline: 900 });
        expect(daemon.status().limited).to.equal(limited);
      } finally {
        await router.stop();
      }
    });
  }
});
