import { expect } from 'chai';
import type { RouterHarness } from './router-harness.js';
import { RouterHarness as Harness, only, service, upstream } from './router-harness.js';

/** Longer than it takes to find an attempt overdue, shorter than to find the next one. */
const OVERDUE_MILLIS = 350;

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
  it('of a read is given up and made elsewhere', () => {
    const harness = start();
    const [first] = only(harness.request('board'), 'dispatch');
    const effects = harness.run(OVERDUE_MILLIS);
    const [second] = only(effects, 'dispatch');
    expect(second?.upstream).to.not.equal(first?.upstream);
    expect(only(effects, 'cancel-attempt')).to.deep.equal([
      { type: 'cancel-attempt', attempt: first?.attempt },
    ]);
    harness.ended(first?.attempt as number, { type: 'cancelled' });
    expect(only(harness.ended(second?.attempt as number), 'deliver')).to.have.length(1);
    expect(harness.core.status().inFlight).to.equal(0);
  });

  it('goes on if the retry budget is spent', () => {
    const harness = start({ retryBudget: 0 });
    const [first] = only(harness.request('board'), 'dispatch');
    expect(only(harness.run(OVERDUE_MILLIS), 'dispatch')).to.deep.equal([]);
    expect(only(harness.ended(first?.attempt as number), 'deliver')).to.have.length(1);
  });

  it('goes on if there is no other upstream that takes work', () => {
    const record = service('board', { deadlineMillis: 5000, slotsPerUpstream: 4, retryBudget: 0.2 });
    const harness = new Harness().start([record], [upstream('u1', 'board')]);
    harness.request('board');
    expect(only(harness.run(OVERDUE_MILLIS), 'cancel-attempt')).to.deep.equal([]);
  });

  it('of an order goes on: it may not be made twice', () => {
    const harness = start({ repeatable: false });
    const claims = only(harness.order('board'), 'send-control');
    const message = claims[0]?.message;
    harness.claimResult(message?.type === 'claim-request' ? message.claimant : '', { type: 'granted' });
    const effects = harness.run(OVERDUE_MILLIS);
    expect([...only(effects, 'cancel-attempt'), ...only(effects, 'dispatch')]).to.deep.equal([]);
  });

  it('is none at an upstream without an answer yet, while it takes no longer than the others', () => {
    const harness = start();
    const [known] = only(harness.request('board'), 'dispatch');
    harness.run(150);
    harness.ended(known?.attempt as number);
    const firsts = [1, 2, 3].flatMap(() => only(harness.request('board'), 'dispatch'));
    const others = firsts.filter(({ upstream: id }) => id !== known?.upstream);
    expect(others.length).to.be.at.least(1);
    expect(only(harness.run(1400), 'cancel-attempt')).to.deep.equal([]);
    expect(only(harness.run(300), 'cancel-attempt').length).to.be.at.least(1);
  });

  /**
   * A router of a fleet that starts: 60 reads over 20 upstreams that take 0.4 s, none of them known. Before: 15 attempts were given up
   * after 0.2 s, and made again. After: none.
   */
  it('is none of the first reads of a slow service', () => {
    const upstreams = Array.from({ length: 20 }, (_, index) => upstream(`u${index + 1}`, 'board'));
    const record = service('board', { deadlineMillis: 5000, slotsPerUpstream: 4, retryBudget: 0.2 });
    const harness = new Harness().start([record], upstreams);
    const route = { targetMillis: 1200, timeoutMillis: 5000, maxAttempts: 2, priority: 1, repeatable: true };
    const split = [{ service: 'board', weight: 1 }];
    const definition = { name: 'reads', host: 'menu.example', prefix: '/', split, ...route };
    harness.change([{ type: 'route', name: 'reads', record: { definition, revision: 2 } }]);
    let givenUp = 0;
    const underWay: { attempt: number; endsAt: number }[] = [];
    for (let sent = 0; sent < 60 || underWay.length > 0; sent += 1) {
      const effects =
        sent < 60 ? harness.request('', { place: { host: 'menu.example', path: '/sheet' } }) : [];
      for (const { attempt } of only([...effects, ...harness.run(50)], 'dispatch')) {
        underWay.push({ attempt, endsAt: harness.now + 400 });
      }
      while (underWay[0] !== undefined && harness.now >= underWay[0].endsAt) {
        const ended = harness.ended(underWay.shift()?.attempt ?? 0);
        givenUp += only(ended, 'cancel-attempt').length;
      }
      givenUp = only(harness.effects, 'cancel-attempt').length;
    }
    expect(givenUp).to.equal(0);
  });
});
