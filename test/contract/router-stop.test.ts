/** SIGTERM to a real router process: what it has is finished, and it ends with exit code 0. */
import { writeFileSync } from 'node:fs';
import { expect } from 'chai';
import { BENCH_IDENTITY } from '../../src/dev/bench/proxy/bench-identity.js';
import { ControlStandin } from '../../src/dev/bench/proxy/control-standin.js';
import { call, until } from '../router/router-fixture.js';
import { answerWhole, headFor, type ScriptedRequest, ScriptedUpstream } from '../router/scripted-upstream.js';
import { service, upstream } from '../routing/router-harness.js';
import { ProcessCluster } from './process-cluster.js';

const NETWORK = 92;
const LONG = 'x'.repeat(4096);
const HALF = LONG.length / 2;
const SERVING = 200;
const STOPPING = 503;

describe('SIGTERM to a router', () => {
  it('finishes reads, a long answer and an order in flight, then ends', async () => {
    const server = await new ScriptedUpstream(() => {}).start();
    const { address } = server;
    const names = ['reads', 'orders'];
    const control = new ControlStandin({
      revision: 1,
      services: [service('reads', { wholeAnswerBytes: 1024 }), service('orders', { repeatable: false })],
      upstreams: names.map((name, index) => upstream(`${name}-${index}`, name, { address })),
      shards: [],
      routes: [],
      declaration: null,
      ranges: [],
      suspects: [],
    });
    const cluster = new ProcessCluster(NETWORK);
    const router = `${cluster.host(1)}:8000`;
    const admin = `${cluster.host(1)}:8001`;
    const settings = cluster.write('router.yaml', {
      ...cluster.shared,
      cluster: BENCH_IDENTITY.cluster,
      secretFile: secretFile(cluster),
      router: 'router-1',
      listen: router,
      admin,
      control: [await control.start()],
      probeInterval: '0s',
    });
    try {
      cluster.start('router', 'router', 'run', '--settings', settings);
      await cluster.until('a router that serves', () => healthIs(admin, SERVING));
      const get = (path: string) => call(router, { method: 'GET', path, headers: {} });
      const key = { 'idempotency-key': 'one', 'idempotency-issued-at': `${Date.now()}` };
      const answers = [
        get('/reads/1'),
        get('/reads/long'),
        call(router, { method: 'POST', path: '/orders/1', headers: key }),
      ];
      await until(() => server.requests.length === answers.length);
      const long = server.requests.find(({ target }) => target === '/reads/long') as ScriptedRequest;
      long.socket.write(`${headFor(long, `content-length: ${LONG.length}`)}${LONG.slice(0, HALF)}`);
      const ended = cluster.end('router', 'SIGTERM');
      await cluster.until('a router that stops', () => healthIs(admin, STOPPING));
      server.requests.filter((request) => request !== long).forEach(answerWhole);
      long.socket.write(LONG.slice(HALF));
      expect((await Promise.all(answers)).map(({ body, whole }) => ({ body, whole }))).to.deep.equal([
        { body: '/reads/1', whole: true },
        { body: LONG, whole: true },
        { body: '/orders/1', whole: true },
      ]);
      expect(await ended).to.equal(0);
    } finally {
      cluster.close();
      await control.stop();
      await server.stop();
    }
  });
});

async function healthIs(admin: string, wanted: number): Promise<true | undefined> {
  const { status } = await call(admin, { method: 'GET', path: '/healthz', headers: {} });
  return status === wanted ? true : undefined;
}

function secretFile(cluster: ProcessCluster): string {
  const path = cluster.file('bench-secret');
  writeFileSync(path, BENCH_IDENTITY.secret);
  return path;
}
