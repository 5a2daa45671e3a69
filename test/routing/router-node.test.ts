import { expect } from 'chai';
import type { RouterEffect } from '../../src/routing/types.js';
import {
  ANSWERED,
  CONFIG,
  controlMessages,
  effectsOfType,
  onlyShard,
  RouterHarness,
  service,
  upstream,
} from './router-harness.js';

function unkeyed(changes = {}): RouterHarness {
  const upstreams = [upstream('u1', 'web'), upstream('u2', 'web')];
  return new RouterHarness().start([service('web', changes)], upstreams);
}

function keyed(changes = {}): RouterHarness {
  const upstreams = [upstream('u1', 'sheets'), upstream('u2', 'sheets')];
  const shards = [onlyShard('sheets', 'u1', 1)];
  return new RouterHarness().start([service('sheets', { keyed: true, ...changes })], upstreams, shards);
}

function orders(changes = {}): RouterHarness {
  const upstreams = [upstream('u1', 'orders'), upstream('u2', 'orders')];
  return new RouterHarness().start([service('orders', { repeatable: false, ...changes })], upstreams);
}

/** The latest attempt. */
function lastAttempt(harness: RouterHarness): number {
  return effectsOfType(harness.effects, 'dispatch').at(-1)?.attempt ?? 0;
}

function refusalOf(effects: readonly RouterEffect[]) {
  const refusals = effectsOfType(effects, 'refuse').map(({ status, outcome, reason }) => ({
    status,
    outcome,
    reason,
  }));
  expect(refusals).to.have.length(1);
  return refusals[0];
}

describe('router core: requests that may be repeated', () => {
  it('dispatches and delivers', () => {
    const harness = unkeyed();
    const [dispatch] = effectsOfType(harness.request('web'), 'dispatch');
    expect(dispatch).to.include({ request: 1, credentials: null, deadlineMillis: 5000 });
    expect(harness.ended(dispatch?.attempt ?? 0)).to.deep.equal([
      { type: 'deliver', request: 1, attempt: dispatch?.attempt },
    ]);
    expect(harness.core.status()).to.include({ inFlight: 0, queued: 0, serving: true });
  });

  it('refuses before the first configuration', () => {
    const harness = new RouterHarness();
    const refusal = refusalOf(harness.request('web'));
    expect(refusal).to.deep.equal({ status: 503, outcome: 'not-run', reason: 'no-configuration' });
    expect(effectsOfType(harness.effects, 'refuse')[0]?.retryAfterMillis).to.be.greaterThan(0);
  });

  it('queues requests beyond the slots and dispatches them in order', () => {
    const harness = unkeyed();
    for (let i = 0; i < 6; i++) {
      harness.request('web');
    }
    expect(harness.core.status()).to.include({ inFlight: 4, queued: 2 });
    const next = effectsOfType(harness.ended(lastAttempt(harness)), 'dispatch');
    expect(next.map((dispatch) => dispatch.request)).to.deep.equal([5]);
  });

  it('retries elsewhere after a failed connection, and refuses with not-run once the retry budget is spent', () => {
    const harness = unkeyed({ retryBudget: 0 });
    harness.request('web');
    const refusal = refusalOf(harness.ended(lastAttempt(harness), { type: 'connect-failed' }));
    expect(refusal).to.deep.equal({ status: 503, outcome: 'not-run', reason: 'retry-budget-spent' });
  });

  it('answers 504 with outcome unknown when the deadline passes in flight', () => {
    const harness = unkeyed();
    // Shorter than the time after which the attempt is overdue and is repeated.
    harness.request('web', { deadlineMillis: 150 });
    const effects = harness.run(150);
    expect(refusalOf(effects)).to.deep.equal({
      status: 504,
      outcome: 'unknown',
      reason: 'deadline-passed',
    });
    expect(effectsOfType(effects, 'cancel-attempt')).to.have.length(1);
  });

  it('shares one attempt between identical reads, also when the first caller cancels', () => {
    const harness = unkeyed({ coalesce: true });
    harness.request('web', { target: '/a' });
    harness.request('web', { target: '/a' });
    harness.request('web', { target: '/b' });
    expect(effectsOfType(harness.effects, 'dispatch')).to.have.length(2);
    expect(harness.step({ type: 'request-cancelled', request: 1 })).to.deep.equal([]);
    const attempt = effectsOfType(harness.effects, 'dispatch')[0]?.attempt as number;
    expect(effectsOfType(harness.ended(attempt), 'deliver')).to.deep.equal([
      { type: 'deliver', request: 2, attempt },
    ]);
  });

  it('applies updates at once, without renewing the lease', () => {
    const harness = unkeyed();
    const changes = [{ type: 'service', name: 'web', record: null }] as const;
    harness.fromControl({ type: 'sync-news', delta: { from: 1, to: 2, changes } });
    expect(refusalOf(harness.request('web'))).to.include({ reason: 'unknown-service' });
    harness.now += CONFIG.configLease.configLeaseMillis;
    expect(effectsOfType(harness.step({ type: 'tick' }), 'log').map(({ event }) => event)).to.include(
      'configuration-lease-over',
    );
  });

  it('requests a snapshot when an update starts after its own revision', () => {
    const harness = unkeyed();
    harness.now += 100;
    const effects = harness.fromControl({ type: 'sync-news', delta: { from: 5, to: 6, changes: [] } });
    expect(effectsOfType(effects, 'send-control')[0]?.message).to.include({ type: 'sync-request', have: 0 });
  });

  it('dispatches again as soon as the back-off requested by an upstream ends', () => {
    const harness = new RouterHarness().start([service('web')], [upstream('u1', 'web')]);
    harness.request('web');
    const refused = { type: 'refused', refusal: 'overloaded', retryAfterMillis: 30 } as const;
    harness.ended(lastAttempt(harness), refused);
    const before = harness.now;
    const attempt = lastAttempt(harness);
    while (lastAttempt(harness) === attempt && harness.now < before + 200) {
      harness.now = Math.max(harness.now + 1, harness.core.nextDeadline());
      harness.step({ type: 'tick' });
    }
    expect(harness.now - before).to.be.within(30, 31);
  });

  it('sends nothing to an upstream once the operator has marked it as leaving', () => {
    const harness = unkeyed();
    harness.change([{ type: 'upstream', id: 'u1', record: upstream('u1', 'web', { leaving: true }) }]);
    for (let i = 0; i < 4; i++) {
      harness.request('web');
    }
    expect(effectsOfType(harness.effects, 'dispatch').map((dispatch) => dispatch.upstream)).to.deep.equal([
      'u2',
      'u2',
    ]);
  });
});

describe('router core: keyed requests', () => {
  it('carries the credentials of the owner', () => {
    const harness = keyed();
    const [dispatch] = effectsOfType(harness.request('sheets', { key: 'k' }), 'dispatch');
    expect(dispatch?.upstream).to.equal('u1');
    expect(dispatch?.credentials).to.deep.equal({
      shard: 'sheets/all@1/0',
      epoch: 1,
      incarnation: 'u1-1',
      key: 'k',
    });
  });

  it('requires a key', () => {
    expect(refusalOf(keyed().request('sheets'))).to.deep.equal({
      status: 400,
      outcome: 'not-run',
      reason: 'key-required',
    });
  });

  for (const refusal of ['not-owner', 'stale-epoch', 'lease-over'] as const) {
    it(`after ${refusal} syncs with control and holds the request until the owner changes`, () => {
      const harness = keyed();
      harness.request('sheets', { key: 'k' });
      harness.now += 30;
      const effects = harness.ended(lastAttempt(harness), {
        type: 'refused',
        refusal,
        retryAfterMillis: null,
      });
      expect(controlMessages(effects, 'sync-request')).to.have.length(1);
      expect(effectsOfType(effects, 'dispatch')).to.have.length(0);
      const record = onlyShard('sheets', 'u2', 2);
      const moved = harness.change([{ type: 'shard', shard: record.shard, record }]);
      expect(effectsOfType(moved, 'dispatch')[0]).to.include({ request: 1, upstream: 'u2' });
      expect(effectsOfType(moved, 'dispatch')[0]?.credentials?.epoch).to.equal(2);
    });
  }

  it('refuses after the hold limit when the shard has no owner', () => {
    const harness = keyed();
    const record = onlyShard('sheets', null, 1);
    harness.change([{ type: 'shard', shard: record.shard, record }]);
    expect(effectsOfType(harness.request('sheets', { key: 'k' }), 'refuse')).to.have.length(0);
    expect(refusalOf(harness.run(1000))).to.deep.equal({
      status: 503,
      outcome: 'not-run',
      reason: 'no-owner',
    });
  });
});

describe('router core: orders', () => {
  it('claims, dispatches, settles and then answers', () => {
    const harness = orders();
    const claims = controlMessages(harness.order('orders'), 'claim-request');
    expect(claims.map((claim) => claim.claimant)).to.deep.equal(['r1/i1/1']);
    expect(effectsOfType(harness.effects, 'dispatch')).to.have.length(0);
    const granted = harness.claimResult('r1/i1/1', { type: 'granted' });
    expect(effectsOfType(granted, 'dispatch')).to.have.length(1);
    const stored = { status: 201, contentType: 'text/plain', body: '', truncated: false };
    const ended = harness.ended(lastAttempt(harness), { ...ANSWERED, status: 201, stored } as never);
    expect(ended.map((effect) => effect.type)).to.deep.equal(['send-control', 'deliver']);
    expect(controlMessages(ended, 'settle-request')[0]).to.include({ outcome: 'ran', answer: stored });
  });

  it('never repeats a broken attempt', () => {
    const harness = orders();
    harness.order('orders');
    harness.claimResult('r1/i1/1', { type: 'granted' });
    const effects = harness.ended(lastAttempt(harness), { type: 'broken' });
    expect(refusalOf(effects)).to.deep.equal({
      status: 502,
      outcome: 'unknown',
      reason: 'upstream-failed',
    });
    expect(controlMessages(effects, 'settle-request')[0]?.outcome).to.equal('unknown');
    expect(effectsOfType(harness.run(3000), 'dispatch')).to.have.length(0);
  });

  it('dispatches nothing when the claim is granted after the deadline', () => {
    const harness = orders();
    harness.order('orders');
    harness.now += 60_000;
    const effects = harness.claimResult('r1/i1/1', { type: 'granted' });
    expect(effectsOfType(effects, 'dispatch')).to.have.length(0);
    expect(effectsOfType(effects, 'refuse')).to.have.length(1);
    expect(controlMessages(effects, 'settle-request')[0]?.outcome).to.equal('not-run');
  });
});
