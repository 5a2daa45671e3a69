/** Requests without end at each port of routers and members, with real processes: none of them ends or fills up, and
 * others are served after. */
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { callRouter } from './announced-upstream.js';
import { DeclaredCluster, DOCUMENT } from './declared-cluster.js';
import { ENDLESS_REQUESTS, EndlessCaller } from './endless-caller.js';

const NETWORK = 99;
const CALLERS = 3;
const SENDING_MILLIS = 500;
const MAX_GROWTH_BYTES = 128 * 1024 * 1024;
const RELAY_PORT = 8003;

describe('requests without end', function suite() {
  this.timeout(120_000);
  const cluster = new DeclaredCluster(NETWORK, 1);
  const { processes } = cluster;
  const caller = new EndlessCaller();
  const memberHost = processes.host(1);
  const routerHost = processes.host(11);
  const ports = [
    {
      port: "a member's API",
      process: 'control-1',
      address: `${memberHost}:8001`,
      path: '/v1/upstreams/u/heartbeat',
    },
    { port: "a member's port for others", process: 'control-1', address: `${memberHost}:8002`, path: '/' },
    {
      port: "a router's readiness port",
      process: 'router-1',
      address: `${routerHost}:8001`,
      path: '/healthz',
    },
    {
      port: "a router's port for others",
      process: 'router-1',
      address: `${routerHost}:${RELAY_PORT}`,
      path: '/',
    },
  ];
  let router: string;

  before(async () => {
    cluster.startMembers();
    expect(await cluster.declare(DOCUMENT, 0)).to.equal(200);
    await cluster.addUpstream({ id: 'pantry-1', service: 'pantry' });
    router = await cluster.startRouter({ relay: `${routerHost}:${RELAY_PORT}` });
    await processes.until('an answer', async () => ((await order()) === 200 ? true : undefined));
  });

  afterEach(() => caller.stop());

  after(() => cluster.close());

  async function order(): Promise<number> {
    return (await callRouter(router, '/orders/1', { method: 'POST' })).status;
  }

  for (const { port, process, address, path } of ports) {
    const readsHttp = path !== '/';
    for (const request of ENDLESS_REQUESTS.filter(({ begin }) => readsHttp || begin(path) === '')) {
      /** Guards against a process that keeps what its callers send without end. */
      it(`at ${port}: ${request.name}`, async () => {
        const before = processes.residentBytes(process);
        caller.send(address, path, request, CALLERS);
        await sleep(SENDING_MILLIS);
        expect(processes.isRunning(process)).to.equal(true);
        expect(processes.residentBytes(process) - before).to.be.below(MAX_GROWTH_BYTES);
        caller.stop();
        await cluster.readDocument(`${memberHost}:8001`);
        await processes.until('an answer', async () => ((await order()) === 200 ? true : undefined));
      });
    }
  }
});
