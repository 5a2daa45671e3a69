/** How long a connection to an upstream rests before it is given up. */
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { UpstreamPools } from '../../src/router/attempts/upstream-pools.js';

/** What the upstream names in `Keep-Alive`. */
const NAMED_MILLIS = 2000;
/** Least time between the router's end of a connection and its upstream's. */
const LEAST_MARGIN_MILLIS = 500;

describe('a connection to an upstream that names a short rest', () => {
  let server: Server;
  let pools: UpstreamPools;
  let address: string;
  /** When each connection was made, and ended by the router. */
  let made: number[];
  let ended: number[];

  beforeEach(async () => {
    made = [];
    ended = [];
    server = createServer({ keepAliveTimeout: NAMED_MILLIS }, (_request, response) => {
      response.end('answer');
    });
    server.on('connection', (socket) => {
      made.push(performance.now());
      socket.once('end', () => ended.push(performance.now()));
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    pools = new UpstreamPools({ connectionsPerUpstream: 4, connectMillis: 1000, streamStallMillis: 1000 });
  });

  afterEach(async () => {
    await pools.stop();
    server.closeAllConnections();
    server.close();
  });

  async function exchange(): Promise<void> {
    const { body } = await pools.of(address).request({ path: '/', method: 'GET' });
    await body.text();
  }

  it('carries what comes soon after', async () => {
    for (let count = 0; count < 4; count += 1) {
      await exchange();
      await sleep(300);
    }
    expect(made).to.have.length(1);
  });

  it('is ended by the router first, with time to spare', async () => {
    await exchange();
    const answered = performance.now();
    await sleep(NAMED_MILLIS - LEAST_MARGIN_MILLIS);
    expect(ended).to.have.length(1);
    expect((ended[0] as number) - answered).to.be.below(NAMED_MILLIS - LEAST_MARGIN_MILLIS);
  });
});
