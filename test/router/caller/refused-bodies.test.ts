/** Requests whose bodies a router doesn't take: they are refused and don't run, though the rest of them comes afterwards. */
import { expect } from 'chai';
import { RouterFixture, until } from '../router-fixture.js';
import { ScriptedUpstream } from '../scripted-upstream.js';
import { postHead, RawCaller } from './raw-caller.js';

const MAX_BODY_BYTES = 1000;
const MAX_HELD_BYTES = 1500;

describe('bodies beyond the limits', () => {
  let upstream: ScriptedUpstream;
  let router: RouterFixture;

  beforeEach(async () => {
    upstream = await new ScriptedUpstream(() => {}).start();
    const limits = { maxBodyBytes: MAX_BODY_BYTES, maxHeldBodyBytes: MAX_HELD_BYTES };
    router = await RouterFixture.start([upstream], { settings: { limits } });
  });

  afterEach(async () => {
    await router.stop();
    await upstream.stop();
  });

  it('refuse a request for want of memory, and do not run it when the rest of it comes', async () => {
    const first = await RawCaller.connect(router.address);
    first.send(postHead('/orders/1', 'x'.repeat(MAX_BODY_BYTES)));
    await until(() => upstream.requests.length === 1);
    const second = await RawCaller.connect(router.address);
    const order = postHead('/orders/2', 'y'.repeat(MAX_BODY_BYTES));
    second.send(order.slice(0, -10));
    await until(() => second.answers.length === 1);
    second.send(order.slice(-10));
    await until(() => second.closed);
    expect(second.statuses).to.deep.equal([503]);
    expect(second.answers[0]?.head).to.include('ternmount-outcome: not-run');
    expect(upstream.requests.map(({ target }) => target)).to.deep.equal(['/orders/1']);
    first.disconnect();
  });

  it('refuse a body that is too long, and do not run it when the rest of it comes', async () => {
    const caller = await RawCaller.connect(router.address);
    const order = postHead('/orders/1', 'x'.repeat(MAX_BODY_BYTES + 10));
    caller.send(order.slice(0, -10));
    await until(() => caller.answers.length === 1);
    caller.send(order.slice(-10));
    await until(() => caller.closed);
    expect(caller.statuses).to.deep.equal([413]);
    expect(upstream.requests).to.have.length(0);
  });
});
