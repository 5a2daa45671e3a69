/** False hints from the platform and from health checks, while the upstreams serve well. */
import { expect } from 'chai';
import type { RouterInput } from '../../src/routing/types.js';
import { ANSWERED, effectsOfType, RouterHarness, service, upstream } from './router-harness.js';

const SERVICE = 'web';
const IDS = ['u1', 'u2', 'u3'];
const SERVICE_MILLIS = 10;
/** Longer than own successes count as evidence for an upstream, shorter than a hint is valid. */
const PAUSE_MILLIS = 5000;

function start(): RouterHarness {
  const upstreams = IDS.map((id) => upstream(id, SERVICE));
  return new RouterHarness().start([service(SERVICE, { slotsPerUpstream: 50 })], upstreams);
}

function platformList(leaving: readonly string[]): RouterInput {
  return { type: 'platform-list', leaving, live: IDS.filter((id) => !leaving.includes(id)) };
}

/** Serves requests one after the other; returns the upstreams picked for them. */
function serve(harness: RouterHarness, count: number): Set<string> {
  const picked = new Set<string>();
  for (let request = 0; request < count; request += 1) {
    for (const { upstream: id, attempt } of effectsOfType(harness.request(SERVICE), 'dispatch')) {
      picked.add(id);
      harness.advance(SERVICE_MILLIS);
      harness.ended(attempt, ANSWERED);
    }
  }
  return picked;
}

describe('false hints', () => {
  for (const before of [0, 20]) {
    it(`when the platform reports all upstreams as leaving, after ${before} requests and a pause, they still serve`, () => {
      const harness = start();
      serve(harness, before);
      harness.run(PAUSE_MILLIS);
      harness.step(platformList(IDS));
      expect(serve(harness, 1)).to.have.property('size', 1);
    });
  }

  it('when the platform reports all as leaving and one served recently, all slots are used', () => {
    const upstreams = IDS.map((id) => upstream(id, SERVICE));
    const harness = new RouterHarness().start([service(SERVICE, { slotsPerUpstream: 1 })], upstreams);
    harness.run(PAUSE_MILLIS);
    serve(harness, 1);
    harness.step(platformList(IDS));
    const picked = IDS.flatMap(() =>
      effectsOfType(harness.request(SERVICE), 'dispatch').map(({ upstream: id }) => id),
    );
    expect(picked.sort()).to.deep.equal(IDS);
  });

  it('when the platform reports one upstream as leaving, the others take its requests', () => {
    const harness = start();
    serve(harness, 20);
    harness.step(platformList(['u1']));
    expect([...serve(harness, 40)].sort()).to.deep.equal(['u2', 'u3']);
    harness.run(PAUSE_MILLIS);
    expect([...serve(harness, 40)].sort()).to.deep.equal(['u2', 'u3']);
  });

  it('when the platform reports two as leaving and a probe fails at the third, only the third serves', () => {
    const harness = start();
    harness.run(PAUSE_MILLIS);
    harness.step(platformList(['u1', 'u2']));
    harness.step({ type: 'probe-result', upstream: 'u3', healthy: false, load: null });
    expect([...serve(harness, 40)]).to.deep.equal(['u3']);
  });

  it('a platform list without live upstreams excludes none', () => {
    const harness = start();
    harness.step({ type: 'platform-list', leaving: [], live: [] });
    expect([...serve(harness, 60)].sort()).to.deep.equal(IDS);
  });

  it('when probes fail at all upstreams, all serve', () => {
    const harness = start();
    for (const id of IDS) {
      harness.step({ type: 'probe-result', upstream: id, healthy: false, load: null });
    }
    expect([...serve(harness, 60)].sort()).to.deep.equal(IDS);
  });

  it('an upstream that refused as draining gets no requests, even if the platform reports only the others as leaving', () => {
    const harness = start();
    harness.run(PAUSE_MILLIS);
    harness.step(platformList(['u2', 'u3']));
    const [dispatch] = effectsOfType(harness.request(SERVICE), 'dispatch');
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

  it('once all upstreams have refused as draining, a request is refused', () => {
    const harness = start();
    harness.step(platformList(IDS));
    const attempts = effectsOfType(harness.request(SERVICE), 'dispatch');
    for (let tries = 0; tries < IDS.length && attempts.length > 0; tries += 1) {
      const { attempt } = attempts.shift() as { attempt: number };
      const ended = harness.ended(attempt, { type: 'refused', refusal: 'draining', retryAfterMillis: null });
      attempts.push(...effectsOfType(ended, 'dispatch'));
    }
    expect(serve(harness, 1).size).to.equal(0);
  });
});
