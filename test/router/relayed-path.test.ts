/** Routers with real sockets: one of them loses its path to an upstream, another one carries its connections. */
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { CuttableProxy, type ProxyCut } from './cuttable-proxy.js';
import { freeAddress } from './free-address.js';
import { RouterFixture, until } from './router-fixture.js';
import { answerWhole, headFor, ScriptedUpstream } from './scripted-upstream.js';

const CUTS: readonly ProxyCut[] = ['silent', 'reset', 'refused', 'living'];
const KNOWN_AFTER_MILLIS = 1000;

describe('a router without a path to an upstream', function () {
  this.timeout(30_000);
  let upstream: ScriptedUpstream;
  let proxy: CuttableProxy;
  let blind: RouterFixture;
  let sighted: RouterFixture;

  beforeEach(async () => {
    upstream = await new ScriptedUpstream().start();
    proxy = await CuttableProxy.start(upstream.address);
    const relay = await freeAddress();
    const options = { announced: true } as const;
    sighted = await RouterFixture.start([upstream], { ...options, settings: { router: 'r2', relay } });
    const own = await freeAddress();
    blind = await RouterFixture.start([proxy], { ...options, settings: { router: 'r1', relay: own } });
    blind.control.send({ type: 'relay-peers', peers: [{ router: 'r2', zone: 'a', address: relay }] });
    expect((await blind.get('/reads/warm')).status).to.equal(200);
  });

  afterEach(async () => {
    await blind.stop();
    await sighted.stop();
    await proxy.stop();
    await upstream.stop();
  });

  async function servedOf(count: number): Promise<number> {
    const answers = await Promise.all(
      Array.from({ length: count }, (_, number) => blind.get(`/reads/${number}`)),
    );
    return answers.filter(({ status, whole }) => status === 200 && whole).length;
  }

  for (const how of CUTS) {
    it(`serves over another router, and by itself again after the cut (${how})`, async () => {
      await proxy.cut(how);
      void servedOf(3);
      await sleep(KNOWN_AFTER_MILLIS);
      expect(await servedOf(20)).to.equal(20);
      expect((await blind.order('/orders/1')).status).to.equal(200);
      if (how !== 'living') {
        expect(blind.daemon.status().relayed).to.deep.equal({ upstreams: 2, relays: 1 });
      }
      await proxy.heal();
      await until(() => blind.daemon.status().relayed.upstreams === 0);
      expect(await servedOf(20)).to.equal(20);
    });
  }

  it('delivers no answer as whole that ended with the router which carried it', async () => {
    await proxy.cut('refused');
    await blind.get('/reads/1');
    upstream.script = (request) => request.socket.write(`${headFor(request)}part`);
    const answer = blind.get('/reads/cut');
    await sleep(100);
    await sighted.stop();
    expect((await answer).status).not.to.equal(200);
  });

  it('gets whole answers of what another router carries while that one stops as planned', async () => {
    await proxy.cut('refused');
    await blind.get('/reads/1');
    upstream.script = (request) => void setTimeout(() => answerWhole(request), 500);
    const answers = Promise.all([blind.get('/reads/2'), blind.order('/orders/2')]);
    await sleep(100);
    await sighted.stop();
    expect((await answers).map(({ status, whole }) => [status, whole])).to.deep.equal([
      [200, true],
      [200, true],
    ]);
  });
});
