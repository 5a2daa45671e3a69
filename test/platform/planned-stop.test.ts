/** Planned stop of a router: it reports not ready at once, accepts connections for a while, and completes all requests. */
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { callRouter } from './announced-upstream.js';
import { DeclaredCluster, DOCUMENT } from './declared-cluster.js';

const NETWORK = 79;
const LAME_DUCK_MILLIS = 800;

describe('planned stop of a router with declared routes', function suite() {
  this.timeout(60_000);
  const cluster = new DeclaredCluster(NETWORK, 1);
  let router = '';

  before(async () => {
    cluster.startMembers();
    expect(await cluster.declare(DOCUMENT, 0)).to.equal(200);
    await cluster.addUpstream({
      id: 'pantry-1',
      service: 'pantry',
      work: async () => {
        await sleep(600);
        return null;
      },
    });
    router = await cluster.startRouter({ lameDuck: `${LAME_DUCK_MILLIS}ms` });
  });

  after(() => cluster.close());

  it('answers pending and new requests, then exits', async () => {
    const before = callRouter(router, '/orders/1', { id: 'before', method: 'POST', body: 'fish' });
    await sleep(100);
    const ended = cluster.processes.end('router-1', 'SIGTERM');
    await sleep(150);
    expect(await cluster.isReady(router.split(':')[0] ?? '')).to.equal(false);
    const during = await callRouter(router, '/orders/1', { id: 'during', method: 'POST', body: 'rice' });
    expect(during).to.include({ status: 200 });
    expect(during.headers.connection).to.equal('close');
    expect((await before).status).to.equal(200);
    expect(await ended).to.equal(0);
    const after = await callRouter(router, '/orders/1', { id: 'after' }).catch((error: Error) => error);
    expect(after).to.be.instanceOf(Error);
  });
});
