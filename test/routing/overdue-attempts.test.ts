import { expect } from 'chai';
import type { RouterHarness } from './router-harness.js';
import { effectsOfType, RouterHarness as Harness, service, upstream } from './router-harness.js';

/** Longer than it takes until an attempt is overdue, shorter than until the next one is. */
const OVERDUE_MILLIS = 350;
/** End of a planned stop, later than these tests. */
const STOP_END_MILLIS = 60_000;

function start(changes: Parameters<typeof service>[1] = {}): RouterHarness {
  const record = service('board', {
    deadlineMillis: 5000,
    slotsPerUpstream: 4,
    retryBudget: 0.2,
    ...changes,
  });
  const upstreams = ['u1', 'u2', 'u3'].map((id) => upstream(id, 'board'));
  return new Harness().start([record], upstreams);
}

describe('an attempt that is overdue', () => {
  it('of a read is cancelled and retried at another upstream', () => {
    const harness = start();
    const [first] = effectsOfType(harness.request('board'), 'dispatch');
    const effects = harness.run(OVERDUE_MILLIS);
    const [second] = effectsOfType(effects, 'dispatch');
    expect(second?.upstream).to.not.equal(first?.upstream);
    expect(effectsOfType(effects, 'cancel-attempt')).to.deep.equal([
      { type: 'cancel-attempt', attempt: first?.attempt },
    ]);
    harness.ended(first?.attempt as number, { type: 'cancelled' });
    expect(effectsOfType(harness.ended(second?.attempt as number), 'deliver')).to.have.length(1);
    expect(harness.core.status().inFlight).to.equal(0);
  });

  // Guards against reads that a stopping router breaks off while their upstream works, and answers with a failure of its own.
  it('continues on a planned stop', () => {
    const harness = start();
    const [first] = effectsOfType(harness.request('board'), 'dispatch');
    harness.step({ type: 'stopping', endsAt: STOP_END_MILLIS });
    const effects = harness.run(OVERDUE_MILLIS);
    expect(effectsOfType(effects, 'cancel-attempt')).to.deep.equal([]);
    expect(effectsOfType(harness.ended(first?.attempt as number), 'deliver')).to.have.length(1);
  });

  // Guards against requests that hang on a lost path until their deadline because their router stops.
  it('is still looked for on lost paths on a planned stop', () => {
    const record = service('board', { deadlineMillis: 5000, slotsPerUpstream: 4 });
    const harness = new Harness().start([record], [upstream('u1', 'board')]);
    const peers = ['r2', 'r3'].map((router) => ({ router, zone: 'a', address: `${router}:1` }));
    harness.fromControl({ type: 'relay-peers', peers });
    harness.step({ type: 'stopping', endsAt: STOP_END_MILLIS });
    harness.request('board');
    expect(effectsOfType(harness.run(3000), 'try-path')).to.not.deep.equal([]);
  });

  it('continues if the retry budget is spent', () => {
    const harness = start({ retryBudget: 0 });
    const [first] = effectsOfType(harness.request('board'), 'dispatch');
    expect(effectsOfType(harness.run(OVERDUE_MILLIS), 'dispatch')).to.deep.equal([]);
    expect(effectsOfType(harness.ended(first?.attempt as number), 'deliver')).to.have.length(1);
  });

  it('continues if no other upstream accepts requests', () => {
    const record = service('board', { deadlineMillis: 5000, slotsPerUpstream: 4, retryBudget: 0.2 });
    const harness = new Harness().start([record], [upstream('u1', 'board')]);
    harness.request('board');
    expect(effectsOfType(harness.run(OVERDUE_MILLIS), 'cancel-attempt')).to.deep.equal([]);
  });

  it('of a non-repeatable request continues, since it must not run twice', () => {
    const harness = start({ repeatable: false });
    const claims = effectsOfType(harness.order('board'), 'send-control');
    const message = claims[0]?.message;
    harness.claimResult(message?.type === 'claim-request' ? message.claimant : '', { type: 'granted' });
    const effects = harness.run(OVERDUE_MILLIS);
    expect([
      ...effectsOfType(effects, 'cancel-attempt'),
      ...effectsOfType(effects, 'dispatch'),
    ]).to.deep.equal([]);
  });

  it('does not occur at an upstream without an answer yet while it takes no longer than the others', () => {
    const harness = start();
    const [measured] = effectsOfType(harness.request('board'), 'dispatch');
    harness.run(150);
    harness.ended(measured?.attempt as number);
    const firsts = [1, 2, 3].flatMap(() => effectsOfType(harness.request('board'), 'dispatch'));
    const others = firsts.filter(({ upstream: id }) => id !== measured?.upstream);
    expect(others.length).to.be.at.least(1);
    expect(effectsOfType(harness.run(1400), 'cancel-attempt')).to.deep.equal([]);
    expect(effectsOfType(harness.run(300), 'cancel-attempt').length).to.be.at.least(1);
  });

  /**
   * A newly started router sends 60 reads of 0.4 s each to 20 upstreams whose speeds are unknown. Without an estimate from the route's
   * target, 15 attempts were cancelled after 0.2 s and retried elsewhere; none should be.
   */
  it('does not occur among the first reads of a slow service', () => {
    const upstreams = Array.from({ length: 20 }, (_, index) => upstream(`u${index + 1}`, 'board'));
    const record = service('board', { deadlineMillis: 5000, slotsPerUpstream: 4, retryBudget: 0.2 });
    const harness = new Harness().start([record], upstreams);
    const route = { targetMillis: 1200, timeoutMillis: 5000, maxAttempts: 2, priority: 1, repeatable: true };
    const split = [{ service: 'board', weight: 1 }];
    const definition = { name: 'reads', host: 'menu.example', prefix: '/', split, ...route };
    harness.change([{ type: 'route', name: 'reads', record: { definition, revision: 2 } }]);
    let cancelled = 0;
    const inFlight: { attempt: number; endsAt: number }[] = [];
    for (let sent = 0; sent < 60 || inFlight.length > 0; sent += 1) {
      const effects =
        sent < 60 ? harness.request('', { place: { host: 'menu.example', path: '/sheet' } }) : [];
      for (const { attempt } of effectsOfType([...effects, ...harness.run(50)], 'dispatch')) {
        inFlight.push({ attempt, endsAt: harness.now + 400 });
      }
      while (inFlight[0] !== undefined && harness.now >= inFlight[0].endsAt) {
        const ended = harness.ended(inFlight.shift()?.attempt ?? 0);
        cancelled += effectsOfType(ended, 'cancel-attempt').length;
      }
      cancelled = effectsOfType(harness.effects, 'cancel-attempt').length;
    }
    expect(cancelled).to.equal(0);
  });
});
