import { once } from 'node:events';
import { type AddressInfo, connect, createServer } from 'node:net';
import { expect } from 'chai';
import { RouterDaemon } from '../../src/router/router-daemon.js';
import type { RouterCore } from '../../src/routing/types.js';

/** Returns an address of this machine on which nothing listens. */
async function freeAddress(): Promise<string> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const closed = once(server, 'close');
  server.close();
  await closed;
  return `127.0.0.1:${port}`;
}

/** Resolves to `connect` or the code of the error. */
async function dial(address: string): Promise<string> {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  return new Promise((resolve) => {
    socket.once('connect', () => {
      socket.destroy();
      resolve('connect');
    });
    socket.once('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? ''));
  });
}

describe('start of a router', () => {
  let serving: boolean;
  let daemon: RouterDaemon;

  const core: RouterCore = {
    step: () => [],
    nextDeadline: () => Number.POSITIVE_INFINITY,
    status: () => ({
      revision: 0,
      serving,
      queued: 0,
      inFlight: 0,
      limited: 0,
      resting: 0,
      returns: { made: 0, kept: 0, broken: 0, hopeless: 0 },
      relayed: { upstreams: 0, relays: 0 },
      leaving: 0,
      routes: [],
    }),
  };

  async function makeDaemon(listen: string, firstConfigurationMillis: number): Promise<RouterDaemon> {
    const control = [await freeAddress()];
    const base = { cluster: 'c1', router: 'r1', zone: 'zone-a', secret: 'secret', admin: '127.0.0.1:0' };
    const settings = { ...base, listen, control, timings: { firstConfigurationMillis, idleMillis: 0 } };
    return new RouterDaemon(settings, () => core, 'node');
  }

  afterEach(() => daemon.stop());

  it('accepts callers once it has a configuration', async () => {
    serving = false;
    const listen = await freeAddress();
    daemon = await makeDaemon(listen, Number.POSITIVE_INFINITY);
    const started = daemon.start();
    expect(await dial(listen)).to.equal('ECONNREFUSED');
    serving = true;
    await started;
    expect(await dial(listen)).to.equal('connect');
  });

  it('accepts callers after the time limit without a configuration, to refuse them with a reason', async () => {
    serving = false;
    const listen = await freeAddress();
    daemon = await makeDaemon(listen, 0);
    await daemon.start();
    expect(await dial(listen)).to.equal('connect');
  });
});
