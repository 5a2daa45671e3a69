/** Running routers enforce the declared limits on callers, from the first document on and after changes. */
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { callRouter } from './announced-upstream.js';
import { DeclaredCluster, DOCUMENT } from './declared-cluster.js';

const NETWORK = 81;
const LIMITS = { headerBytes: 4096, bodyBytes: 3000, headerMillis: 700, idleMillis: 900 };

/** Returns the milliseconds until the router closes a connection on which `text` was sent; `null`: not within `timeoutMillis`. */
function closedAfter(address: string, text: string, timeoutMillis: number): Promise<number | null> {
  const [host = '', port = ''] = address.split(':');
  const startedAt = performance.now();
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) }, () => socket.write(text));
    const timer = setTimeout(() => {
      socket.destroy();
      resolve(null);
    }, timeoutMillis);
    socket.on('error', () => {});
    socket.resume();
    socket.on('close', () => {
      clearTimeout(timer);
      resolve(performance.now() - startedAt);
    });
  });
}

describe('declared limits on callers', function suite() {
  this.timeout(60_000);
  const cluster = new DeclaredCluster(NETWORK, 1);
  let router = '';

  before(async () => {
    cluster.startMembers();
    expect(await cluster.declare({ ...DOCUMENT, limits: LIMITS }, 0)).to.equal(200);
    await cluster.addUpstream({ id: 'pantry-1', service: 'pantry' });
    router = await cluster.startRouter();
  });

  after(() => cluster.close());

  async function statusOfBody(bytes: number): Promise<number> {
    const answer = await callRouter(router, '/orders/1', { method: 'POST', body: 'f'.repeat(bytes) });
    return answer.status;
  }

  it('reject larger bodies and headers', async () => {
    expect(await statusOfBody(3000)).to.equal(200);
    expect(await statusOfBody(3001)).to.equal(413);
    const tooLong = await callRouter(router, `/orders/${'x'.repeat(5000)}`, { method: 'POST' });
    expect(tooLong.status).to.equal(431);
  });

  it('close connections that are idle or don’t send a complete header in time', async () => {
    const idle = await closedAfter(router, 'GET /none/ HTTP/1.1\r\nHost: menu.example\r\n\r\n', 5000);
    expect(idle).to.be.within(800, 4000);
    const slow = await closedAfter(router, 'GET /none/ HTTP/1.1\r\nHost:', 6000);
    expect(slow).to.be.within(600, 4000);
  });

  it('change with the document', async () => {
    const limits = { ...LIMITS, bodyBytes: 2_000_000, idleMillis: 30_000 };
    expect(await cluster.declare({ version: 2, set: { limits } }, 1, 'PATCH')).to.equal(200);
    await sleep(500);
    expect(await statusOfBody(1_500_000)).to.equal(200);
    const idle = await closedAfter(router, 'GET /none/ HTTP/1.1\r\nHost: menu.example\r\n\r\n', 2500);
    expect(idle).to.equal(null);
  });
});
