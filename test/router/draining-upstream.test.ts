/**
 * A draining upstream reports this in a header of all its answers while it still answers with success. Some time after a router passed
 * on such an answer, it must send the upstream no new requests, with or without contact to control. Guards against routers that ignore
 * the header and take draining only from the registry, an operator or a refusal, the last for at most five seconds.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { RouterFixture } from './router-fixture.js';
import { headFor, ScriptedUpstream } from './scripted-upstream.js';

const DRAIN_MILLIS = 2000;
const REQUESTS = 5;

describe('an upstream that reports draining in its answers', () => {
  let draining: ScriptedUpstream;
  let fixture: RouterFixture;

  beforeEach(async () => {
    draining = await new ScriptedUpstream((request) =>
      request.socket.write(headFor(request, 'ternmount-leaving: 1', 'content-length: 0')),
    ).start();
    fixture = await RouterFixture.start([draining]);
  });

  afterEach(async () => {
    await fixture.stop();
    await draining.stop();
  });

  it('gets no new requests a while later, although it answers with success', async () => {
    for (let sent = 0; sent < REQUESTS; sent += 1) {
      await fixture.get(`/reads/before-${sent}`);
    }
    expect(draining.requests.length).to.be.above(0);
    expect(fixture.daemon.status().leaving).to.equal(1);
    await sleep(DRAIN_MILLIS);
    const before = draining.requests.length;
    for (let sent = 0; sent < REQUESTS; sent += 1) {
      await fixture.get(`/reads/after-${sent}`);
    }
    expect(draining.requests.length - before).to.equal(0);
  });
});
