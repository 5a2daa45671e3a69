/** End-to-end test on real processes: self-starting members, a declared document, announced upstreams and callers. */
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { type AnnouncedUpstream, callRouter } from './announced-upstream.js';
import { DeclaredCluster, DOCUMENT } from './declared-cluster.js';

const NETWORK = 77;

describe('declared routes on real processes', function suite() {
  this.timeout(60_000);
  const cluster = new DeclaredCluster(NETWORK, 3);
  let router = '';
  let menus: AnnouncedUpstream[] = [];
  let pantry: AnnouncedUpstream;

  before(async () => {
    cluster.startMembers();
    expect(await cluster.declare(DOCUMENT, 0)).to.equal(200);
    menus = [
      await cluster.addUpstream({ id: 'menu-1', service: 'menu', keyed: true }),
      await cluster.addUpstream({ id: 'menu-2', service: 'menu', keyed: true }),
    ];
    pantry = await cluster.addUpstream({ id: 'pantry-1', service: 'pantry' });
    router = await cluster.startRouter();
    await cluster.untilHeld(menus);
  });

  after(() => cluster.close());

  it('routes a request to the owner of its key, unchanged except for the headers that the router sets', async () => {
    const answer = await callRouter(router, '/sheets/a?b=1', { id: 'q1', key: 1000, deadline: 700 });
    expect(answer, answer.body).to.include({ status: 200 });
    const owner = menus.find((menu) => menu.holds(1000)) as AnnouncedUpstream;
    expect(answer.headers).to.include({ seal: `${menus.indexOf(owner) === 0 ? 'menu-1' : 'menu-2'}` });
    const run = owner.runs.at(-1);
    expect(run).to.include({ id: 'q1', method: 'GET', path: '/sheets/a?b=1', key: '1000' });
    expect(Number(run?.deadline)).to.be.within(500, 700);
    expect(run?.headers.host).to.equal('menu.example');
  });

  it('transfers complete bodies', async () => {
    const answer = await callRouter(router, '/orders/1', { id: 'q2', method: 'POST', body: 'fish x 2' });
    expect(answer.status).to.equal(200);
    expect(pantry.runs.at(-1)).to.include({ id: 'q2', body: 'fish x 2' });
  });

  it('refuses requests that match no route', async () => {
    expect((await callRouter(router, '/none/')).status).to.equal(404);
    expect((await callRouter(router, '/sheets/a', { host: 'other.example' })).status).to.equal(404);
  });

  it('returns the document from any member, and accepts a repeated change', async () => {
    for (const member of cluster.control) {
      expect(await cluster.readDocument(member)).to.deep.equal(DOCUMENT);
      expect(await cluster.declareAt(member, DOCUMENT, 0)).to.equal(200);
    }
  });

  it('refuses invalid documents and stale versions, and changes nothing', async () => {
    const [member = ''] = cluster.control;
    const cases: readonly (readonly [string, object | string, number, number])[] = [
      ['cut short', '{"version": 3, "routes": [', 1, 400],
      ['no list', { version: 3, routes: 'x' }, 1, 400],
      ['unknown service', { ...DOCUMENT, version: 3, services: [] }, 1, 422],
      ['stale match', { ...DOCUMENT, version: 3 }, 7, 412],
    ];
    for (const [name, document, match, status] of cases) {
      expect(await cluster.declareAt(member, document, match), name).to.equal(status);
    }
    expect(await cluster.readDocument(member)).to.deep.equal(DOCUMENT);
  });

  it('applies a change on routers soon after it is accepted', async () => {
    const route = { ...DOCUMENT.routes[0], name: 'more', prefix: '/more/' };
    expect(await cluster.declare({ version: 2, set: { routes: [route] } }, 1, 'PATCH')).to.equal(200);
    await sleep(300);
    expect((await callRouter(router, '/more/1', { key: 5 })).status).to.equal(200);
  });

  it('sends a draining upstream no new requests and loses none', async () => {
    const draining = menus[0] as AnnouncedUpstream;
    draining.state = 'draining';
    expect(await draining.announce()).to.equal(200);
    await sleep(400);
    const before = draining.runs.length;
    for (let key = 0; key < 65_536; key += 4096) {
      expect((await callRouter(router, '/sheets/a', { key })).status).to.equal(200);
    }
    expect(draining.runs.length).to.equal(before);
    expect(draining.rejectedRequests).to.equal(0);
    const successor = menus[1] as AnnouncedUpstream;
    expect(successor.grants.some(({ handover }) => handover?.startsWith('menu-1:'))).to.equal(true);
  });

  it('keeps working when a member is killed and when it restarts with an empty disk', async () => {
    await cluster.processes.end('control-1', 'SIGKILL');
    const route = { ...DOCUMENT.routes[0], name: 'third', prefix: '/third/' };
    expect(await cluster.declare({ version: 3, set: { routes: [route] } }, 2, 'PATCH')).to.equal(200);
    cluster.processes.lose('data-1');
    cluster.startMember(1, false);
    await cluster.processes.until('the new replica to vote', async () => {
      const status = await cluster.processes.status(1);
      const voters = status?.raft.membership.voters ?? [];
      return voters.length === 3 && voters.includes(status?.raft.self ?? '') ? true : undefined;
    });
    expect(await cluster.readDocument(cluster.control[0] ?? '')).to.have.property('version', 3);
    expect((await callRouter(router, '/third/1', { key: 5 })).status).to.equal(200);
  });
});
