/** Guards against processes that end, or callers that aren't served, because of what somebody sends to any of their ports. */
import { connect } from 'node:net';
import { expect } from 'chai';
import { drawHostileInput } from './hostile-input.js';
import { ProcessCluster } from './process-cluster.js';

const NETWORK = 64;
const CONTROL = 1;
const ROUTER = 2;
const UPSTREAM = 3;
const OK = 200;
/** Connections to each port; the environment sets another number and another seed. Variables of the daemons begin otherwise. */
const CONNECTIONS = Number(process.env.HOSTILE_CONNECTIONS ?? 120);
const SEED = Number(process.env.HOSTILE_SEED ?? 1);
const AT_A_TIME = 8;
const GIVE_UP_MILLIS = 400;
const LOAD_INTERVAL_MILLIS = 25;

/** Writes bytes to a port and waits until the other end closes or a short time is over. */
function throwAt(host: string, port: number, bytes: Buffer): Promise<void> {
  return new Promise((resolve) => {
    const socket = connect({ host, port }, () => socket.write(bytes));
    const timer = setTimeout(() => socket.destroy(), GIVE_UP_MILLIS);
    socket.on('data', () => {});
    socket.on('error', () => {});
    socket.on('close', () => {
      clearTimeout(timer);
      resolve();
    });
  });
}

describe('hostile input to every port, beside light load', () => {
  const cluster = new ProcessCluster(NETWORK);
  after(() => cluster.close());

  function startRouter(): void {
    const settings = cluster.write('router.yaml', {
      ...cluster.shared,
      router: 'router-1',
      listen: `${cluster.host(ROUTER)}:8000`,
      admin: `${cluster.host(ROUTER)}:8001`,
      control: [`${cluster.host(CONTROL)}:8002`],
    });
    cluster.start('router', 'router', 'run', '--settings', settings);
  }

  async function startServing(): Promise<void> {
    await cluster.startMember(CONTROL, 'init');
    startRouter();
    const listen = `${cluster.host(UPSTREAM)}:8000`;
    const serviceTime = { kind: 'constant', meanMillis: 1 };
    const upstream = { id: 'menu-1', service: 'menu', listen, zone: 'zone-1', keyed: true, slots: 2 };
    cluster.startStandin('upstream', 'upstream', {
      name: 'upstreams',
      cluster: 'demo',
      control: `${cluster.host(UPSTREAM)}:8001`,
      seed: 1,
      journal: cluster.file('journal.jsonl'),
      upstreams: [{ ...upstream, payloadBytes: 100, serviceTime }],
    });
    const service = { kind: 'service', name: 'menu', repeatable: true, keyed: true };
    await cluster.operator('service', 'apply', cluster.write('menu.yaml', service), '--no-wait');
    const declaration = ['--service', 'menu', '--address', listen, '--zone', 'zone-1'];
    await cluster.operator('upstream', 'add', 'menu-1', ...declaration, '--no-wait');
    await cluster.until('answer', async () => ((await askOnce('first')) === OK ? OK : undefined));
  }

  async function askOnce(key: string): Promise<number> {
    const response = await fetch(`http://${cluster.host(ROUTER)}:8000/menu/${key}`).catch(() => undefined);
    await response?.text();
    return response?.status ?? 0;
  }

  it(`ends no process and costs no request, seed ${SEED}`, async function () {
    this.timeout(60_000 + CONNECTIONS * 1000);
    await startServing();
    const statuses: number[] = [];
    const load = setInterval(async () => {
      statuses.push(await askOnce(`key-${statuses.length % 50}`));
    }, LOAD_INTERVAL_MILLIS);
    const ports = [
      { host: cluster.host(CONTROL), port: 8001 },
      { host: cluster.host(CONTROL), port: 8002 },
      { host: cluster.host(ROUTER), port: 8000 },
      { host: cluster.host(ROUTER), port: 8001 },
    ];
    for (const [index, { host, port }] of ports.entries()) {
      const inputs = drawHostileInput(CONNECTIONS, SEED + index);
      while (inputs.length > 0) {
        await Promise.all(inputs.splice(0, AT_A_TIME).map((bytes) => throwAt(host, port, bytes)));
      }
    }
    clearInterval(load);
    expect(await cluster.operator('service', 'list')).to.contain('menu');
    expect(await askOnce('last')).to.equal(OK);
    expect(new Set(statuses), cluster.logs()).to.deep.equal(new Set([OK]));
    for (const name of ['router', 'upstream', `control-${CONTROL}`]) {
      expect(await cluster.end(name, 'SIGTERM'), cluster.logs()).to.equal(0);
    }
  });
});
