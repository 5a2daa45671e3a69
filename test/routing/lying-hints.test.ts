/** Hints of the platform, of health checks and of load reports that are false, while the upstreams serve well. */
import { expect } from 'chai';
import type { RouterInput } from '../../src/routing/types.js';
import { ANSWERED, only, RouterHarness, service, upstream } from './router-harness.js';

const SERVICE = 'web';
const IDS = ['u1', 'u2', 'u3'];
const SERVICE_MILLIS = 10;
/** Longer than own successes speak for an upstream, shorter than a hint's life. */
const SILENCE_MILLIS = 5000;

function start(): RouterHarness {
  const upstreams = IDS.map((id) => upstream(id, SERVICE));
  return new RouterHarness().start([service(SERVICE, { slotsPerUpstream: 50 })], upstreams);
}

function platformSays(leaving: readonly string[]): RouterInput {
  return { type: 'platform-list', leaving, live: IDS.filter((id) => !leaving.includes(id)) };
}

/** Serves requests one after the other; gives who was picked for them. */
function serve(harness: RouterHarness, count: number): Set<string> {
  const picked = new Set<string>();
  for (let request = 0; request < count; request += 1) {
    for (const { upstream: id, attempt } of only(harness.request(SERVICE), 'dispatch')) {
      picked.add(id);
      harness.advance(SERVICE_MILLIS);
      harness.ended(attempt, ANSWERED);
    }
  }
  return picked;
}

describe('false hints', () => {
  for (const before of [0, 20]) {
    it(`the platform says leaving of each upstream, after ${before} requests and a silence: they serve`, () => {
      const harness = start();
      serve(harness, before);
      harness.run(SILENCE_MILLIS);
      harness.step(platformSays(IDS));
      expect(serve(harness, 1)).to.have.property('size', 1);
    });
  }

  it('the platform says leaving of each, and one served lately: all slots are used', () => {
    const upstreams = IDS.map((id) => upstream(id, SERVICE));
    const harness = new RouterHarness().start([service(SERVICE, { slotsPerUpstream: 1 })], upstreams);
    harness.run(SILENCE_MILLIS);
    serve(harness, 1);
    harness.step(platformSays(IDS));
    const picked = IDS.flatMap(() =>
      only(harness.request(SERVICE), 'dispatch').map(({ upstream: id }) => id),
    );
    expect(picked.sort()).to.deep.equal(IDS);
  });

  it('the platform says leaving of one upstream: the others take its work', () => {
    const harness = start();
    serve(harness, 20);
    harness.step(platformSays(['u1']));
    expect([...serve(harness, 40)].sort()).to.deep.equal(['u2', 'u3']);
    harness.run(SILENCE_MILLIS);
    expect([...serve(harness, 40)].sort()).to.deep.equal(['u2', 'u3']);
  });

  it('the platform says leaving of two, and a probe says ill of the third: only that one serves', () => {
    const harness = start();
    harness.run(SILENCE_MILLIS);
    harness.step(platformSays(['u1', 'u2']));
    harness.step({ type: 'probe-result', upstream: 'u3', healthy: false, load: null });
    expect([...serve(harness, 40)]).to.deep.equal(['u3']);
  });

  it('a platform that no longer lists live upstreams takes none out', () => {
    const harness = start();
    harness.step({ type: 'platform-list', leaving: [], live: [] });
    expect([...serve(harness, 60)].sort()).to.deep.equal(IDS);
  });

  it('probes say ill of each upstream: all serve', () => {
    const harness = start();
    for (const id of IDS) {
      harness.step({ type: 'probe-result', upstream: id, healthy: false, load: null });
    }
    expect([...serve(harness, 60)].sort()).to.deep.equal(IDS);
  });

  it('what said draining itself gets no work, though the platform says so of the others alone', () => {
    const harness = start();
    harness.run(SILENCE_MILLIS);
    harness.step(platformSays(['u2', 'u3']));
    const [dispatch] = only(harness.request(SERVICE), 'dispatch');
    expect(dispatch?.upstream).to.equal('u1');
    harness.ended(dispatch?.attempt as number, {
      type: 'refused',
      refusal: 'draining',
      retryAfterMillis: null,
    });
    const picked = serve(harness, 40);
    expect(picked.has('u1')).to.equal(false);
    expect(picked.size).to.be.greaterThan(0);
  });

  it('once each has said draining itself, a request is refused', () => {
    const harness = start();
    harness.step(platformSays(IDS));
    const attempts = only(harness.request(SERVICE), 'dispatch');
    for (let tries = 0; tries < IDS.length && attempts.length > 0; tries += 1) {
      const { attempt } = attempts.shift() as { attempt: number };
      const ended = harness.ended(attempt, { type: 'refused', refusal: 'draining', retryAfterMillis: null });
      attempts.push(...only(ended, 'dispatch'));
    }
    expect(serve(harness, 1).size).to.equal(0);
  });
});
