/** Real daemons wait for an address that another process holds for a moment. */
import { once } from 'node:events';
import { readFileSync, writeFileSync } from 'node:fs';
import { createServer, type Server } from 'node:net';
import { expect } from 'chai';
import { BENCH_IDENTITY } from '../../src/dev/bench/proxy/bench-identity.js';
import { ControlStandin } from '../../src/dev/bench/proxy/control-standin.js';
import { ProcessCluster } from './process-cluster.js';

const NETWORK = 124;
const NAME = 'daemon';
const PORTS: Readonly<Record<string, number>> = { listen: 8000, admin: 8001, relay: 8003 };
const PORTS_OF = { router: ['listen', 'admin', 'relay'], control: ['listen', 'admin'] };
const EMPTY = {
  revision: 1,
  services: [],
  upstreams: [],
  shards: [],
  routes: [],
  declaration: null,
  ranges: [],
  suspects: [],
};

describe('an address that is held while a daemon starts', () => {
  let cluster: ProcessCluster;
  let holder: Server | null = null;

  beforeEach(() => {
    cluster = new ProcessCluster(NETWORK);
  });
  afterEach(() => {
    holder?.close();
    cluster.close();
  });

  const addressOf = (port: string): string => `${cluster.host(1)}:${PORTS[port]}`;

  function settingsOf(kind: string): object {
    const shared = { ...cluster.shared, listen: addressOf('listen'), admin: addressOf('admin') };
    const own: Readonly<Record<string, object>> = {
      router: {
        router: 'router-1',
        relay: addressOf('relay'),
        control: [`${cluster.host(2)}:8002`],
        firstConfiguration: '0s',
      },
      control: {
        replicaName: 'control-1',
        dataFolder: cluster.file('data'),
        seeds: [`${cluster.host(1)}:8001`],
        bootstrap: true,
        toleratedLosses: 0,
      },
    };
    return { ...shared, ...own[kind] };
  }

  function start(kind: string, settings: object = {}): void {
    const file = cluster.write('daemon.yaml', { ...settingsOf(kind), ...settings });
    cluster.start(NAME, kind, 'run', '--settings', file);
  }

  async function hold(port: string): Promise<void> {
    holder = createServer();
    holder.listen(PORTS[port], cluster.host(1));
    await once(holder, 'listening');
  }

  async function release(): Promise<void> {
    await new Promise((resolve) => holder?.close(resolve));
    holder = null;
  }

  async function logged(event: string): Promise<void> {
    await cluster.until(event, async () => {
      expect(cluster.isRunning(NAME), cluster.logs()).to.equal(true);
      return readFileSync(cluster.file(`${NAME}.log`), 'utf8').includes(`"event":"${event}"`) || undefined;
    });
  }

  for (const [kind, ports] of Object.entries(PORTS_OF)) {
    for (const port of ports) {
      it(`doesn't end a ${kind} process, which waits for ${port}`, async () => {
        await hold(port);
        start(kind);
        await logged('address-held');
        await release();
        await logged('started');
        await logged('address-free');
        expect(await cluster.end(NAME, 'SIGTERM')).to.equal(0);
      });
    }
  }

  it("doesn't end a router whose port for callers is taken after it was found free", async () => {
    const control = new ControlStandin(EMPTY);
    const address = await control.start();
    const secretFile = cluster.file('bench-secret');
    writeFileSync(secretFile, BENCH_IDENTITY.secret);
    const settings = { cluster: BENCH_IDENTITY.cluster, secretFile, firstConfiguration: '1h' };
    try {
      start('router', settings);
      await cluster.until('open admin port', () => isOpen(addressOf('admin')));
      await hold('listen');
      cluster.write('daemon.yaml', { ...settingsOf('router'), ...settings, control: [address] });
      cluster.signal(NAME, 'SIGHUP');
      await logged('address-held');
      await release();
      await logged('started');
      expect(await cluster.end(NAME, 'SIGTERM')).to.equal(0);
    } finally {
      await control.stop();
    }
  });

  it('is no longer waited for after a SIGTERM, which ends the daemon with 0', async () => {
    await hold('admin');
    start('control');
    await logged('address-held');
    expect(await cluster.end(NAME, 'SIGTERM')).to.equal(0);
  });
});

async function isOpen(address: string): Promise<true | undefined> {
  return fetch(`http://${address}/healthz`).then(
    () => true,
    () => undefined,
  );
}
