/** Routing and refusals once an upstream sets a rate limit, which is never exceeded. */
import { expect } from 'chai';
import type { ServiceDefinition } from '../../src/model/service.js';
import { EMPTY_NOTICE, type LimitNotice } from '../../src/model/upstream-notice.js';
import type { UpstreamRecord } from '../../src/registry/types.js';
import type { RouterEffect } from '../../src/routing/types.js';
import {
  ANSWERED,
  controlMessages,
  effectsOfType,
  onlyShard,
  RouterHarness,
  service,
  upstream,
} from './router-harness.js';

const HOLD_MILLIS = 100;

function announced(id: string): UpstreamRecord {
  return upstream(id, 'menu', { announced: { slots: 50, warmupMillis: 0 } });
}

function started(ids: readonly string[], changes: Partial<ServiceDefinition> = {}): RouterHarness {
  const definition = { holdLimitMillis: HOLD_MILLIS, ...changes };
  const shards = changes.keyed ? [onlyShard('menu', ids[0] ?? null, 3)] : [];
  return new RouterHarness().start([service('menu', definition)], ids.map(announced), shards);
}

function limitOf(perSecond: number): LimitNotice {
  return { type: 'named', perSecond };
}

/** Sends a request whose response head carries this limit, and returns its attempt. */
function answered(harness: RouterHarness, limit: LimitNotice, key: string | null = 'k'): number {
  const [dispatch] = effectsOfType(harness.request('menu', { key }), 'dispatch');
  const attempt = dispatch?.attempt ?? 0;
  harness.step({ type: 'upstream-notice', attempt, notice: { ...EMPTY_NOTICE, limit } });
  harness.ended(attempt, ANSWERED);
  return attempt;
}

function refusals(effects: readonly RouterEffect[]) {
  return effectsOfType(effects, 'refuse');
}

function permits(
  harness: RouterHarness,
  granted: number,
  nextInMillis: number | null = null,
): RouterEffect[] {
  return harness.fromControl({
    type: 'upstream-permits',
    stamp: harness.now,
    waitedMillis: 0,
    leader: null,
    upstreams: [
      { upstream: 'u1', run: 'u1', granted, nextInMillis, limit: { perSecond: 5, heardAgoMillis: 100_000 } },
    ],
  });
}

describe('an owner with a rate limit', () => {
  let harness: RouterHarness;

  beforeEach(() => {
    harness = started(['u1'], { keyed: true });
    answered(harness, limitOf(5));
    harness.run(20);
  });

  it('gets as many queued requests as control issues permits for', () => {
    const queued = [1, 2, 3].flatMap(() => harness.request('menu', { key: 'k' }));
    expect(effectsOfType(queued, 'dispatch')).to.have.length(0);
    const reports = controlMessages([...queued, ...harness.run(12)], 'upstream-report');
    expect(reports.at(-1)?.upstreams[0]).to.include({ upstream: 'u1', run: 'u1', wanted: 3 });
    expect(effectsOfType(permits(harness, 2), 'dispatch')).to.have.length(2);
  });

  it('has requests that can’t be sent in time refused at once, with a retry time that isn’t too early', () => {
    const queued = [1, 2].flatMap(() => harness.request('menu', { key: 'k' }));
    expect(refusals(queued)).to.have.length(0);
    const atOnce = permits(harness, 0, 700);
    const next = harness.request('menu', { key: 'k' });
    for (const { reason, status, outcome, retryAfterMillis } of refusals([...atOnce, ...next])) {
      expect({ reason, status, outcome }).to.deep.equal({
        reason: 'upstream-limited',
        status: 503,
        outcome: 'not-run',
      });
      expect(retryAfterMillis).to.be.at.least(700);
    }
    expect(refusals([...atOnce, ...next])).to.have.length(3);
  });

  it('has a request without a permit refused at the end of its wait', () => {
    harness.request('menu', { key: 'k' });
    const [refusal] = refusals(harness.run(HOLD_MILLIS + 30));
    expect(refusal?.reason).to.equal('upstream-limited');
    expect(refusal?.facts?.limit?.perSecond).to.equal(5);
  });

  it('gets all requests again once an answer has no limit', () => {
    harness.request('menu', { key: 'k' });
    const [last] = effectsOfType(permits(harness, 1), 'dispatch');
    const attempt = last?.attempt ?? 0;
    harness.request('menu', { key: 'k' });
    const effects = harness.step({ type: 'upstream-notice', attempt, notice: EMPTY_NOTICE });
    expect(effectsOfType(effects, 'dispatch')).to.have.length(1);
    expect(effectsOfType(harness.request('menu', { key: 'k' }), 'dispatch')).to.have.length(1);
  });

  it('keeps its limit when a header is unreadable, which is logged', () => {
    harness.request('menu', { key: 'k' });
    const [last] = effectsOfType(permits(harness, 1), 'dispatch');
    const limit: LimitNotice = { type: 'unreadable' };
    const unreadable = [{ header: 'ternmount-limit', text: 'lots' }];
    const effects = harness.step({
      type: 'upstream-notice',
      attempt: last?.attempt ?? 0,
      notice: { ...EMPTY_NOTICE, limit, unreadable },
    });
    expect(effectsOfType(effects, 'log').map(({ event }) => event)).to.include('upstream-notice-unreadable');
    expect(effectsOfType(harness.request('menu', { key: 'k' }), 'dispatch')).to.have.length(0);
  });

  it('keeps its limit while control removes and adds it again; another run has none', () => {
    harness.change([{ type: 'upstream', id: 'u1', record: null }]);
    harness.change([{ type: 'upstream', id: 'u1', record: announced('u1') }]);
    expect(effectsOfType(harness.request('menu', { key: 'k' }), 'dispatch')).to.have.length(0);
    const next = upstream('u1', 'menu', { announced: { slots: 50, warmupMillis: 0, born: 7 } });
    const effects = harness.change([
      { type: 'upstream', id: 'u1', record: { ...next, revision: 9, incarnation: 'u1@7' } },
    ]);
    expect(effectsOfType(effects, 'dispatch')).to.have.length(1);
  });

  it('keeps its limit after a late answer to an earlier attempt', () => {
    const fresh = started(['u1'], { keyed: true });
    const [early] = effectsOfType(fresh.request('menu', { key: 'k' }), 'dispatch');
    answered(fresh, limitOf(5));
    fresh.step({ type: 'upstream-notice', attempt: early?.attempt ?? 0, notice: EMPTY_NOTICE });
    fresh.ended(early?.attempt ?? 0, ANSWERED);
    expect(effectsOfType(fresh.request('menu', { key: 'k' }), 'dispatch')).to.have.length(0);
  });

  it('gets the most important and most urgent requests first', () => {
    const low = harness.request('menu', { key: 'k', deadlineMillis: 900 });
    const high = harness.request('menu', { key: 'k', deadlineMillis: 300 });
    expect(effectsOfType([...low, ...high], 'dispatch')).to.have.length(0);
    const [first] = effectsOfType(permits(harness, 1), 'dispatch');
    expect(first?.deadlineMillis).to.be.below(301);
  });

  it('has permits requested again from a new leader', () => {
    harness.request('menu', { key: 'k' });
    const reply = {
      type: 'upstream-permits',
      stamp: harness.now,
      waitedMillis: 0,
      leader: '127.0.0.3:1',
      upstreams: [],
    } as const;
    harness.fromControl(reply);
    harness.request('menu', { key: 'k' });
    const reports = effectsOfType(harness.run(30), 'send-control').filter(
      ({ message }) => message.type === 'upstream-report',
    );
    expect(reports.at(-1)?.to).to.equal('127.0.0.3:1');
  });
});

describe('one of several upstreams, with a rate limit', () => {
  it('gets neither first attempts nor retries while others have capacity', () => {
    const harness = started(['u1', 'u2']);
    let isLimited = false;
    let toLimited = 0;
    for (let count = 0; count < 60; count += 1) {
      const [dispatch] = effectsOfType(harness.request('menu'), 'dispatch');
      const attempt = dispatch?.attempt ?? 0;
      if (isLimited && dispatch?.upstream === 'u1') {
        toLimited += 1;
      }
      if (dispatch?.upstream === 'u1') {
        harness.step({ type: 'upstream-notice', attempt, notice: { ...EMPTY_NOTICE, limit: limitOf(1) } });
        isLimited = true;
      }
      const retries = harness.ended(attempt, count % 3 === 0 ? { type: 'connect-failed' } : ANSWERED);
      toLimited += isLimited
        ? effectsOfType(retries, 'dispatch').filter(({ upstream: id }) => id === 'u1').length
        : 0;
      harness.run(20);
    }
    expect(isLimited).to.equal(true);
    expect(toLimited).to.equal(0);
  });

  it('gets no request by a time slot for cold upstreams alone while it is also cold', () => {
    const warmup = { perSecond: 4, millis: 60_000 };
    const cold = upstream('u1', 'menu', { announced: { slots: 50, warmupMillis: 60_000 } });
    const harness = new RouterHarness().start([service('menu', { warmup })], [cold, announced('u2')]);
    const place = { phaseShare: 0.5, routers: 1 };
    harness.respond(harness.now, { turn: { inZone: place, inAll: { phaseShare: 0.5, routers: 300 } } });
    harness.run(500);
    let attempt = 0;
    for (let count = 0; count < 100 && attempt === 0; count += 1) {
      const [dispatch] = effectsOfType(harness.request('menu'), 'dispatch');
      harness.run(20);
      attempt = dispatch?.upstream === 'u1' ? dispatch.attempt : 0;
    }
    harness.step({ type: 'upstream-notice', attempt, notice: { ...EMPTY_NOTICE, limit: limitOf(1) } });
    let countAtLimited = 0;
    for (let count = 0; count < 200; count += 1) {
      countAtLimited += effectsOfType(harness.request('menu'), 'dispatch').filter(
        ({ upstream: id }) => id === 'u1',
      ).length;
      harness.run(20);
    }
    expect(attempt).to.be.above(0);
    expect(countAtLimited).to.equal(0);
  });
});
