/** Cold upstreams get few requests from all routers together, and their normal share once they are warm. */
import { expect } from 'chai';
import type { ServiceDefinition } from '../../src/model/service.js';
import type { RegistryChange, UpstreamRecord } from '../../src/registry/types.js';
import type { RouterEffect } from '../../src/routing/types.js';
import {
  ANSWERED,
  CONFIG,
  effectsOfType,
  onlyShard,
  RouterHarness,
  service,
  upstream,
} from './router-harness.js';

const WARMUP = { perSecond: 4, millis: 3000 };
const ROUTERS = 40;
const CONFIGURED = { ...CONFIG, warmupBounds: { overrunFactor: 1.5, marginRequests: 8 } };

function announced(id: string, warmupMillis: number, revision = 1, zone = 'a'): UpstreamRecord {
  const record = upstream(id, 'menu', { zone, announced: { slots: 3, warmupMillis } });
  return { ...record, revision };
}

function changed(record: UpstreamRecord): RegistryChange {
  return { type: 'upstream', id: record.definition.id, record };
}

function started(
  upstreams: readonly UpstreamRecord[],
  changes: Partial<ServiceDefinition> = {},
): RouterHarness {
  const harness = new RouterHarness(CONFIGURED).start(
    [service('menu', { warmup: WARMUP, ...changes })],
    upstreams,
  );
  const place = { phaseShare: 0.5, routers: ROUTERS };
  harness.respond(harness.now, { turn: { inZone: place, inAll: place } });
  return harness;
}

/** Sends `count` requests, one every 20 ms, each answered 100 ms after its dispatch; returns how many went to an upstream. */
function countAt(harness: RouterHarness, id: string, count: number): number {
  const inFlight: { readonly attempt: number; readonly endsAt: number }[] = [];
  let there = 0;
  const recordDispatches = (effects: readonly RouterEffect[]): void => {
    for (const { attempt, upstream: target } of effectsOfType(effects, 'dispatch')) {
      inFlight.push({ attempt, endsAt: harness.now + 100 });
      there += target === id ? 1 : 0;
    }
  };
  for (let sent = 0; sent < count || inFlight.length > 0; sent += 1) {
    recordDispatches(sent < count ? harness.request('menu') : []);
    recordDispatches(harness.run(20));
    while (inFlight[0] !== undefined && harness.now >= inFlight[0].endsAt) {
      recordDispatches(harness.ended(inFlight.shift()?.attempt ?? 0, ANSWERED));
    }
  }
  return there;
}

describe('an upstream that announces that it is cold', () => {
  it('gets requests only in this router’s time slots', () => {
    const harness = started([announced('u1', 3000), announced('u2', 0)]);
    // 100 requests in 2 s; a round of 40 routers takes 10 s.
    expect(countAt(harness, 'u1', 100)).to.be.at.most(1);
  });

  it('gets one request per round', () => {
    const harness = started([announced('u1', 60_000), announced('u2', 0)]);
    expect(countAt(harness, 'u1', 1500)).to.be.within(2, 4);
  });

  it('gets its normal share once control reports that it is warm', () => {
    const harness = started([announced('u1', 60_000), announced('u2', 0)]);
    harness.change([changed(announced('u1', 0, 7))]);
    expect(countAt(harness, 'u1', 60)).to.be.above(15);
  });

  it('gets its normal share once its warm-up time is over, without an update from control', () => {
    const harness = started([announced('u1', 500), announced('u2', 0)]);
    harness.run(600);
    expect(countAt(harness, 'u1', 60)).to.be.above(15);
  });

  it('is limited again when it becomes cold later', () => {
    const harness = started([announced('u1', 0), announced('u2', 0)]);
    harness.change([changed(announced('u1', 3000, 7))]);
    expect(countAt(harness, 'u1', 100)).to.be.at.most(1);
  });

  it('gets no requests from routers of other zones', () => {
    const harness = started([announced('u1', 60_000, 1, 'b'), announced('u2', 0, 1, 'b')]);
    expect(countAt(harness, 'u1', 600)).to.equal(0);
  });

  it('gets retries and queued requests only in time slots', () => {
    const harness = started([announced('u1', 60_000), announced('u2', 0)]);
    let there = 0;
    for (let sent = 0; sent < 40; sent += 1) {
      const [dispatch] = effectsOfType(harness.request('menu'), 'dispatch');
      const effects = harness.ended(dispatch?.attempt ?? 0, { type: 'connect-failed' });
      there += effectsOfType(effects, 'dispatch').filter(({ upstream: id }) => id === 'u1').length;
      harness.run(5);
    }
    expect(there).to.be.at.most(1);
  });

  it('is not limited if its service declares no warm-up limits', () => {
    const { warmup: _warmup, ...definition } = service('menu').definition;
    const harness = new RouterHarness(CONFIGURED).start(
      [{ definition, revision: 1, generation: 1 }],
      [announced('u1', 3000), announced('u2', 0)],
    );
    expect(countAt(harness, 'u1', 60)).to.be.above(5);
  });
});

describe('an upstream that may be cold', () => {
  it('gets requests only in time slots after a refused connection, until the warm-up time has passed', () => {
    const harness = started([announced('u1', 0), announced('u2', 0)]);
    const dispatches = Array.from({ length: 6 }, () => effectsOfType(harness.request('menu'), 'dispatch')[0]);
    expect(dispatches.some((dispatch) => dispatch?.upstream === 'u1')).to.equal(true);
    for (const dispatch of dispatches) {
      const isAtU1 = dispatch?.upstream === 'u1';
      harness.ended(dispatch?.attempt ?? 0, isAtU1 ? { type: 'connect-failed', refused: true } : ANSWERED);
    }
    harness.run(1200);
    expect(countAt(harness, 'u1', 100)).to.be.at.most(1);
  });

  it('is used again at once after an update from control', () => {
    const harness = started([announced('u1', 0)]);
    const [dispatch] = effectsOfType(harness.request('menu'), 'dispatch');
    harness.ended(dispatch?.attempt ?? 0, { type: 'connect-failed', refused: true });
    harness.change([changed(announced('u1', 0, 9))]);
    harness.run(1200);
    expect(countAt(harness, 'u1', 20)).to.be.above(15);
  });

  it('is limited after its zone was evacuated', () => {
    const harness = started([announced('u1', 0), announced('u2', 0, 1, 'b')]);
    harness.change([{ type: 'evacuation', zone: 'a', record: { zone: 'a', since: 0, revision: 2 } }]);
    expect(countAt(harness, 'u1', 20)).to.equal(0);
    harness.change([{ type: 'evacuation', zone: 'a', record: null }]);
    expect(countAt(harness, 'u1', 100)).to.be.at.most(1);
    harness.run(WARMUP.millis);
    expect(countAt(harness, 'u1', 60)).to.be.above(15);
  });

  it('gets requests for its keys only in time slots', () => {
    const harness = new RouterHarness(CONFIGURED).start(
      [service('menu', { warmup: WARMUP, keyed: true })],
      [announced('u1', 3000)],
      [onlyShard('menu', 'u1', 3)],
    );
    const place = { phaseShare: 0.5, routers: ROUTERS };
    harness.respond(harness.now, { turn: { inZone: place, inAll: place } });
    let there = 0;
    for (let sent = 0; sent < 100; sent += 1) {
      there += effectsOfType(harness.request('menu', { key: 'k' }), 'dispatch').length;
      harness.run(25);
    }
    expect(there).to.be.at.most(1);
  });
});
