/**
 * Servers that send bytes without end, in a head or a body, until their caller closes, with real processes: each path that reads from
 * them ends in bounded time and memory and with a true outcome, and others are served meanwhile.
 */
import { request as httpRequest } from 'node:http';
import { expect } from 'chai';
import { callRouter } from './announced-upstream.js';
import { DeclaredCluster } from './declared-cluster.js';
import { ENDLESS_SHAPES, type EndlessShape, EndlessWriter } from './endless-writer.js';

const NETWORK = 93;
const DEADLINE_MILLIS = 500;
/** Time of the deadline, of what a stream may go on after it, and of a machine that is busy. */
const END_MILLIS = DEADLINE_MILLIS + 6000;
/** What the system buffers between two processes, for each of some tries. */
const MAX_WRITTEN_BYTES = 64 * 1024 * 1024;
const MAX_GROWTH_BYTES = 128 * 1024 * 1024;
/** Callers of one upstream whose answers come in small pieces. */
const CALLERS = 16;
/** Time in which each of these answers may grow. */
const GROWING_MILLIS = 1500;
const FAILURES: readonly (number | undefined)[] = [502, 503, 504];
/** Paths that control calls. */
const CONTROL_PATHS: ReadonlySet<string> = new Set(['/ternmount/grant', '/ternmount/release', '/health']);

const DOCUMENT = {
  version: 1,
  routes: [
    {
      name: 'reads',
      host: 'menu.example',
      prefix: '/reads/',
      type: 'safe',
      timeoutMillis: 1500,
      service: 'bad',
    },
    {
      name: 'orders',
      host: 'menu.example',
      prefix: '/orders/',
      type: 'unsafe',
      timeoutMillis: 1500,
      service: 'bad',
    },
    {
      name: 'good',
      host: 'menu.example',
      prefix: '/good/',
      type: 'safe',
      timeoutMillis: 1500,
      service: 'good',
    },
    {
      name: 'keys',
      host: 'menu.example',
      prefix: '/keys/',
      type: 'safe',
      timeoutMillis: 1500,
      service: 'menu',
    },
  ],
  services: [{ name: 'bad' }, { name: 'good' }, { name: 'menu', keyed: true }],
};

interface ReadAnswer {
  readonly status: number | undefined;
  /** Whether the answer looked complete. */
  readonly whole: boolean;
}

/** Sends a request, and reads its answer to the end without keeping it. */
function readAll(
  address: string,
  method: string,
  path: string,
  deadlineMillis = DEADLINE_MILLIS,
): Promise<ReadAnswer> {
  return new Promise((resolve) => {
    const headers = {
      host: 'menu.example',
      'ternmount-request-id': `${method}${path}${Math.random()}`,
      'ternmount-deadline-ms': String(deadlineMillis),
    };
    const sent = httpRequest(`http://${address}${path}`, { method, headers, agent: false }, (response) => {
      const end = (whole: boolean): void => resolve({ status: response.statusCode, whole });
      response.resume();
      response.on('end', () => end(response.complete));
      response.on('error', () => end(false));
    });
    sent.on('error', () => resolve({ status: undefined, whole: false }));
    sent.end();
  });
}

describe('bytes without end', function suite() {
  this.timeout(120_000);
  const cluster = new DeclaredCluster(NETWORK, 1);
  const { processes } = cluster;
  const writer = new EndlessWriter();
  let router: string;

  before(async () => {
    cluster.startMembers();
    expect(await cluster.declare(DOCUMENT, 0)).to.equal(200);
    const takeOver = (request: Parameters<EndlessWriter['answer']>[0]): boolean => {
      writer.answer(request);
      return true;
    };
    await cluster.addUpstream({ id: 'bad-1', service: 'bad', slots: CALLERS, takeOver });
    await cluster.addUpstream({ id: 'good-1', service: 'good' });
    await cluster.addUpstream({ id: 'menu-1', service: 'menu', keyed: true });
    router = await cluster.startRouter({ probeInterval: '200ms', probePath: '/health' });
    await processes.until('an answer of the good upstream', async () =>
      (await callRouter(router, '/good/first')).status === 200 ? true : undefined,
    );
  });

  after(async () => {
    writer.stop();
    await cluster.close();
  });

  async function expectAllClosed(): Promise<void> {
    await processes.until('the end of all connections', async () =>
      writer.openConnections === 0 ? true : undefined,
    );
  }

  /** Fails unless `work` ends in time while others are served, and little is read and kept. */
  async function expectBounded<Result>(process: string, work: Promise<Result>): Promise<Result> {
    const before = processes.residentBytes(process);
    let isOver = false;
    const startedAt = performance.now();
    const ended = work.finally(() => {
      isOver = true;
    });
    while (!isOver) {
      expect((await callRouter(router, '/good/other')).status).to.equal(200);
    }
    const result = await ended;
    expect(performance.now() - startedAt).to.be.below(END_MILLIS);
    expect(processes.residentBytes(process) - before).to.be.below(MAX_GROWTH_BYTES);
    return result;
  }

  for (const [method, path] of [
    ['GET', '/reads/1'],
    ['POST', '/orders/1'],
  ] as const) {
    for (const shape of ENDLESS_SHAPES) {
      /** Guards against a router that reads a head, an interim answer or a body without end, for as long as anybody waits. */
      it(`end an attempt: ${shape.name}, ${method}`, async () => {
        writer.reset(shape);
        const answer = await expectBounded('router-1', readAll(router, method, path));
        expect(answer.whole && answer.status === 200).to.equal(false);
        if (shape.isStream !== true) {
          expect(FAILURES).to.include(answer.status);
          expect(writer.writtenBytes).to.be.below(MAX_WRITTEN_BYTES);
        }
      });
    }
  }

  for (const shape of ENDLESS_SHAPES.filter(({ name }) => name.startsWith('chunks of one byte'))) {
    /** Guards against a router that keeps an object, or all that was read, for each byte of the answers that it reads. */
    it(`end attempts side by side: ${shape.name}`, async () => {
      writer.reset(shape);
      const answers = Array.from({ length: CALLERS }, () =>
        readAll(router, 'GET', '/reads/1', GROWING_MILLIS),
      );
      for (const { whole, status } of await expectBounded('router-1', Promise.all(answers))) {
        expect(whole && status === 200).to.equal(false);
      }
    });
  }

  it('end health checks, which count as bad, and every connection is closed', async () => {
    for (const shape of ENDLESS_SHAPES) {
      writer.reset(shape);
      await processes.until(`health checks: ${shape.name}`, async () =>
        writer.requests > 1 ? true : undefined,
      );
      expect(writer.writtenBytes / writer.requests, shape.name).to.be.below(MAX_WRITTEN_BYTES);
    }
    expect(processes.residentBytes('router-1')).to.be.below(3 * MAX_GROWTH_BYTES);
  });

  for (const path of CONTROL_PATHS) {
    it(`end a call of control: ${path}; the keys go to another upstream`, async () => {
      const id = `menu-at-${path.split('/').at(-1)}`;
      let isBad = path === '/ternmount/grant';
      const upstream = await cluster.addUpstream({
        id,
        service: 'menu',
        keyed: true,
        takeOver: (request) => {
          const isTaken = isBad && request.url === path;
          if (isTaken) {
            writer.answer(request);
          }
          return isTaken;
        },
      });
      const shapes = ENDLESS_SHAPES.filter(({ name }) => name !== 'headers, one now and then');
      const [first] = shapes as [EndlessShape];
      writer.reset(first);
      if (!isBad) {
        await processes.until('a grant', async () => (upstream.grants.length > 0 ? true : undefined));
        isBad = true;
      }
      if (path === '/ternmount/release') {
        upstream.state = 'draining';
      } else if (path === '/health') {
        upstream.fallSilent();
      }
      await processes.until('a call without an end', async () => (writer.requests > 0 ? true : undefined));
      const change = { version: 2 + [...CONTROL_PATHS].indexOf(path), set: { services: [{ name: 'good' }] } };
      const declared = cluster.declare(change, change.version - 1, 'PATCH');
      expect(await expectBounded('control-1', declared)).to.equal(200);
      upstream.fallSilent();
      const menu = cluster.upstreams.find((other) => other.grants.length > 0 && other !== upstream);
      await processes.until('keys at the other upstream', async () =>
        [0, 20_000, 40_000, 60_000].every((key) => menu?.holds(key) === true) ? true : undefined,
      );
      expect(writer.writtenBytes / writer.requests).to.be.below(MAX_WRITTEN_BYTES);
      await upstream.stop();
    });
  }

  it('leave no connection open', async () => {
    await expectAllClosed();
  });
});
