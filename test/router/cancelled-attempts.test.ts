/** What becomes of the connection of an attempt that is cancelled. */
import { once } from 'node:events';
import { expect } from 'chai';
import { call, RouterFixture } from './router-fixture.js';
import { type ScriptedRequest, ScriptedUpstream } from './scripted-upstream.js';

describe('a cancelled attempt', () => {
  let upstream: ScriptedUpstream;
  let router: RouterFixture;
  let received: Promise<ScriptedRequest>;

  beforeEach(async () => {
    upstream = new ScriptedUpstream();
    received = new Promise((resolve) => {
      upstream.script = resolve;
    });
    await upstream.start();
    router = await RouterFixture.start([upstream]);
  });

  afterEach(async () => {
    await router.stop();
    await upstream.stop();
  });

  async function leave(body: string): Promise<string | undefined> {
    const caller = new AbortController();
    const answer = call(router.address, {
      method: 'POST',
      path: '/orders/1',
      headers: { 'idempotency-key': 'one', 'idempotency-issued-at': `${Date.now()}` },
      body,
      signal: caller.signal,
    });
    const { socket } = await received;
    const failed = once(socket, 'error');
    caller.abort();
    await answer;
    const [error] = (await failed) as [NodeJS.ErrnoException];
    return error.code;
  }

  it('resets its connection, so that a request held up by a cut never arrives after it', async () => {
    expect(await leave('')).to.equal('ECONNRESET');
  });

  it('resets its connection also after a body', async () => {
    expect(await leave('x'.repeat(100_000))).to.equal('ECONNRESET');
  });
});
