/** Requests behind one another on a connection of a caller: answered in order, and over together when the caller leaves. */
import { expect } from 'chai';
import { RouterFixture, until } from '../router-fixture.js';
import { answerWhole, ScriptedUpstream } from '../scripted-upstream.js';
import { getHead, RawCaller } from './raw-caller.js';

function reads(count: number, prefix = ''): string[] {
  return Array.from({ length: count }, (_, index) => `/reads/${prefix}${index}`);
}

function pipeline(paths: readonly string[]): string {
  return paths.map(getHead).join('');
}

describe('requests behind one another on a connection', () => {
  let upstream: ScriptedUpstream;
  let router: RouterFixture;

  beforeEach(async () => {
    upstream = await new ScriptedUpstream().start();
    router = await RouterFixture.start([upstream], {
      reads: { slotsPerUpstream: 32, queueLimit: 5000 },
      frontEnd: 'node',
    });
  });

  afterEach(async () => {
    await router.stop();
    await upstream.stop();
  });

  it('are all cancelled when their caller leaves', async () => {
    upstream.script = () => {};
    const caller = await RawCaller.connect(router.address);
    caller.send(pipeline(reads(4)));
    await until(() => upstream.requests.length === 4);
    caller.leave();
    await until(() => router.daemon.openRequests === 0);
    await until(() => upstream.requests.every(({ socket }) => socket.destroyed));
    expect(router.daemon.status().inFlight).to.equal(0);
  });

  for (const count of [2, 20, 2000]) {
    it(`${count} of them are answered in their order`, async () => {
      upstream.script = answerWhole;
      const paths = reads(count);
      const caller = await RawCaller.connect(router.address);
      caller.send(pipeline(paths));
      await until(() => caller.answers.length === count);
      expect(caller.bodies).to.deep.equal(paths);
      await until(() => router.daemon.openRequests === 0);
    });
  }
});
