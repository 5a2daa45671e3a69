/** What becomes of the connection of an attempt that is cancelled, and of its upstream. */
import { once } from 'node:events';
import { connect } from 'node:net';
import { expect } from 'chai';
import { parseAddress } from '../../src/wire/address.js';
import { LogRecorder } from './log-recorder.js';
import { call, RouterFixture, until } from './router-fixture.js';
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

describe('attempts that are cancelled while their connection is being opened', () => {
  const CALLERS = 6;

  // Guards against sound upstreams that are ejected since callers left before a connection was there.
  it('do not eject their upstream', async () => {
    const log = new LogRecorder();
    const upstreams = [
      await new ScriptedUpstream(() => {}).start(),
      await new ScriptedUpstream(() => {}).start(),
    ];
    const router = await RouterFixture.start(upstreams, { log });
    const { host, port } = parseAddress(router.address);
    for (let count = 1; count <= CALLERS; count += 1) {
      const caller = connect({ host, port });
      caller.resume();
      caller.end('GET /reads/1 HTTP/1.1\r\nhost: router\r\n\r\n');
      await until(() => log.fieldsOf('request-cancelled').length === count);
    }
    const attempts = log.fieldsOf('request-cancelled').map(({ attempts }) => attempts);
    expect(attempts).to.have.nested.property('[0][0].connectedAt', null);
    expect(log.fieldsOf('upstream-ejected')).to.deep.equal([]);
    await router.stop();
    await Promise.all(upstreams.map((upstream) => upstream.stop()));
  });
});
