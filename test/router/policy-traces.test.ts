/** A router records the inputs of its policies, so that another policy can be tried on them. */
import { expect } from 'chai';
import { compilePolicy, parsePolicyTrace, tryPolicy } from '../../src/policy/index.js';
import { isSameMachine } from '../../src/router/policy-traces.js';
import { call, RouterFixture, until } from './router-fixture.js';
import { ScriptedUpstream } from './scripted-upstream.js';

describe('policy traces', () => {
  let upstream: ScriptedUpstream;
  let router: RouterFixture;

  before(async () => {
    upstream = await new ScriptedUpstream().start();
    router = await RouterFixture.start([upstream]);
  });

  after(async () => {
    await router.stop();
    await upstream.stop();
  });

  const trace = (query: string) =>
    call(router.daemon.adminAddress, { method: 'GET', path: `/v1/policy-trace?${query}`, headers: {} });

  it('contain the requests of the given service, up to the given number', async () => {
    let done = false;
    const recorded = trace('service=reads&records=3&seconds=20').finally(() => {
      done = true;
    });
    await until(() => {
      void router.get('/reads/1');
      void router.order('/orders/1');
      return done;
    });
    const records = parsePolicyTrace('trace', (await recorded).body);
    expect(records.map(({ context }) => context.request.service)).to.deep.equal(['reads', 'reads', 'reads']);
    expect(records[0]?.upstreams[0]).to.include({ id: 'reads-1', zone: 'a' });
    const program = compilePolicy([{ name: 'none', when: "request.method == 'GET'", action: 'refuse' }]);
    expect(tryPolicy(program, records)).to.include({ passed: 0, changed: 3 });
  });

  for (const [remoteAddress, localAddress, same] of [
    ['127.0.0.1', '127.0.0.1', true],
    ['127.9.9.9', '127.0.0.1', true],
    ['::1', '::1', true],
    ['::ffff:127.0.0.1', '::ffff:127.0.0.1', true],
    ['10.0.0.7', '10.0.0.7', true],
    ['10.0.0.8', '10.0.0.7', false],
    ['::ffff:10.0.0.8', '::ffff:10.0.0.7', false],
    ['1270.0.0.1', '10.0.0.7', false],
    [undefined, undefined, false],
  ] as const) {
    it(`are served to ${remoteAddress} at ${localAddress}: ${same}`, () => {
      expect(isSameMachine({ remoteAddress, localAddress })).to.equal(same);
    });
  }

  for (const query of ['records=0', 'records=x', 'seconds=601']) {
    it(`refuses ${query}`, async () => {
      expect((await trace(query)).status).to.equal(400);
    });
  }
});
