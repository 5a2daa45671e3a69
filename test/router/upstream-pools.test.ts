/** How long a connection to an upstream may be idle before the router closes it. */
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { UpstreamPools } from '../../src/router/attempts/upstream-pools.js';
import { NO_RELAYS } from './no-relays.js';

/** Timeout in the upstream's `Keep-Alive` header. */
const KEEP_ALIVE_MILLIS = 2000;
/** Shortest time between the closing of a connection by the router and by its upstream. */
const MIN_MARGIN_MILLIS = 500;

describe('a connection to an upstream with a short keep-alive timeout', () => {
  let server: Server;
  let pools: UpstreamPools;
  let address: string;
  /** When each connection was accepted, and when the router closed it. */
  let acceptedAt: number[];
  let closedAt: number[];

  beforeEach(async () => {
    acceptedAt = [];
    closedAt = [];
    server = createServer({ keepAliveTimeout: KEEP_ALIVE_MILLIS }, (_request, response) => {
      response.end('answer');
    });
    server.on('connection', (socket) => {
      acceptedAt.push(performance.now());
      socket.once('end', () => closedAt.push(performance.now()));
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    pools = new UpstreamPools({
      connectionsPerUpstream: 4,
      connectMillis: 1000,
      dialer: NO_RELAYS,
      onClientFailed: () => {},
    });
  });

  afterEach(async () => {
    await pools.stop();
    server.closeAllConnections();
    server.close();
  });

  async function exchange(): Promise<void> {
    const { body } = await pools
      .poolFor({ upstream: 'u1', address, via: null })
      .request({ path: '/', method: 'GET' });
    await body.text();
  }

  it('is reused for requests that follow soon', async () => {
    for (let count = 0; count < 4; count += 1) {
      await exchange();
      await sleep(300);
    }
    expect(acceptedAt).to.have.length(1);
  });

  it('is closed by the router first, with a margin', async () => {
    await exchange();
    const answered = performance.now();
    await sleep(KEEP_ALIVE_MILLIS - MIN_MARGIN_MILLIS);
    expect(closedAt).to.have.length(1);
    expect((closedAt[0] as number) - answered).to.be.below(KEEP_ALIVE_MILLIS - MIN_MARGIN_MILLIS);
  });
});
