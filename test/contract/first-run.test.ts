/** The path of a request through real processes: one control member, one router, one upstream. */
import { expect } from 'chai';
import { ProcessCluster } from './process-cluster.js';

const NETWORK = 63;
const PAYLOAD_BYTES = 1000;
const CONTROL = 1;
const ROUTER = 2;
const UPSTREAM = 3;
const OK = 200;

describe('first run, as processes', () => {
  const cluster = new ProcessCluster(NETWORK);
  after(() => cluster.close());

  /** The answer to a request, asked for until there is one. */
  async function answerFor(key: string): Promise<Record<string, unknown>> {
    return cluster.until(`answer for ${key}`, async () => {
      const response = await fetch(`http://${cluster.host(ROUTER)}:8000/menu/${key}`).catch(() => undefined);
      const body = await response?.text();
      return response?.status === OK ? (JSON.parse(body ?? '') as Record<string, unknown>) : undefined;
    });
  }

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

  function startUpstream(): void {
    const upstream = {
      id: 'menu-1',
      service: 'menu',
      listen: `${cluster.host(UPSTREAM)}:8000`,
      zone: 'zone-1',
      keyed: true,
      slots: 2,
      payloadBytes: PAYLOAD_BYTES,
      serviceTime: { kind: 'constant', meanMillis: 1 },
    };
    cluster.startStandin('upstream', 'upstream', {
      name: 'upstreams',
      cluster: 'demo',
      control: `${cluster.host(UPSTREAM)}:8001`,
      seed: 1,
      journal: cluster.file('journal.jsonl'),
      upstreams: [upstream],
    });
  }

  it('serves a request, keeps what was acknowledged through a kill, and stops as planned', async () => {
    expect(await cluster.startMember(CONTROL, 'init')).to.match(/^r-[0-9a-f-]{36}$/);
    startRouter();
    startUpstream();
    const service = { kind: 'service', name: 'menu', repeatable: true, keyed: true };
    await cluster.operator('service', 'apply', cluster.write('menu.yaml', service), '--no-wait');
    const address = `${cluster.host(UPSTREAM)}:8000`;
    const declaration = ['--service', 'menu', '--address', address, '--zone', 'zone-1'];
    await cluster.operator('upstream', 'add', 'menu-1', ...declaration, '--no-wait');
    const answer = await answerFor('key-1');
    expect(answer).to.include({ key: 'key-1', upstream: 'menu-1' });
    expect(answer.payload).to.have.length(PAYLOAD_BYTES);

    await cluster.end(`control-${CONTROL}`, 'SIGKILL');
    cluster.runMember(CONTROL);
    expect(await cluster.operator('service', 'list')).to.contain('menu');
    expect(await answerFor('key-2')).to.include({ key: 'key-2' });

    for (const name of ['router', 'upstream', `control-${CONTROL}`]) {
      expect(await cluster.end(name, 'SIGTERM'), cluster.logs()).to.equal(0);
    }
  });
});
