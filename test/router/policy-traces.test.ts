/** A router records what its policies see, so that another policy can be tried on it. */
import { expect } from 'chai';
import { compilePolicy, parsePolicyTrace, tryPolicy } from '../../src/policy/index.js';
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

  it('hold the requests of the service asked for, up to the number asked for', async () => {
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

  it('leave out the keys of requests, since the port asks for no credential', async () => {
    let done = false;
    const recorded = trace('records=5&seconds=20').finally(() => {
      done = true;
    });
    await until(() => {
      void router.get('/reads/home-17');
      return done;
    });
    const { body } = await recorded;
    expect(body).not.to.contain('home-17');
    expect(parsePolicyTrace('trace', body).map(({ context }) => context.request.key)).to.deep.equal(
      new Array(5).fill(undefined),
    );
  });

  for (const query of ['records=0', 'records=x', 'seconds=601']) {
    it(`refuses ${query}`, async () => {
      expect((await trace(query)).status).to.equal(400);
    });
  }
});
