/** Upstreams that report in an answer that they are draining get no new requests, whatever they answer later and even without contact to control. */
import { expect } from 'chai';
import { EMPTY_NOTICE } from '../../src/model/upstream-notice.js';
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

const DRAINING_NOTICE = { ...EMPTY_NOTICE, isLeaving: true };
const HOLD_MILLIS = 100;

function announced(id: string, warmupMillis = 0): UpstreamRecord {
  return upstream(id, 'menu', { announced: { slots: 50, warmupMillis } });
}

function startOwner(): RouterHarness {
  const definition = service('menu', { keyed: true, holdLimitMillis: HOLD_MILLIS });
  return new RouterHarness().start(
    [definition],
    [announced('u1'), announced('u2')],
    [onlyShard('menu', 'u1', 3)],
  );
}

/** Has a request answered with a draining notice; returns the resulting effects. */
function answerAsDraining(harness: RouterHarness, key: string | null = 'k'): RouterEffect[] {
  const [dispatch] = effectsOfType(harness.request('menu', { key }), 'dispatch');
  const attempt = dispatch?.attempt ?? 0;
  return [
    ...harness.step({ type: 'upstream-notice', attempt, notice: DRAINING_NOTICE }),
    ...harness.ended(attempt, ANSWERED),
  ];
}

describe('an owner that reports in its answers that it is draining', () => {
  it('gets no more requests, and those for its keys are refused while they have no other owner', () => {
    const harness = startOwner();
    expect(effectsOfType(answerAsDraining(harness), 'deliver')).to.have.length(1);
    const effects = harness.request('menu', { key: 'k' });
    effects.push(...harness.run(HOLD_MILLIS + 30));
    expect(effectsOfType(effects, 'dispatch')).to.have.length(0);
    expect(effectsOfType(effects, 'refuse').map(({ reason, outcome }) => [reason, outcome])).to.deep.equal([
      ['no-owner', 'not-run'],
    ]);
    harness.run(20_000);
    expect(effectsOfType(harness.request('menu', { key: 'k' }), 'dispatch')).to.have.length(0);
  });

  it('stays draining after successes of earlier requests', () => {
    const harness = startOwner();
    const [earlyDispatch] = effectsOfType(harness.request('menu', { key: 'k' }), 'dispatch');
    answerAsDraining(harness);
    harness.step({ type: 'upstream-notice', attempt: earlyDispatch?.attempt ?? 0, notice: EMPTY_NOTICE });
    harness.ended(earlyDispatch?.attempt ?? 0, ANSWERED);
    expect(effectsOfType(harness.request('menu', { key: 'k' }), 'dispatch')).to.have.length(0);
  });

  it('has its keys served by the next owner, also for queued requests', () => {
    const harness = startOwner();
    answerAsDraining(harness);
    harness.request('menu', { key: 'k' });
    const { shard } = onlyShard('menu', 'u2', 9);
    const effects = harness.change([{ type: 'shard', shard, record: onlyShard('menu', 'u2', 9) }]);
    expect(effectsOfType(effects, 'dispatch').map(({ upstream: id }) => id)).to.deep.equal(['u2']);
  });

  it('is reported to control until control marks it as draining', () => {
    const harness = startOwner();
    const first = controlMessages([...answerAsDraining(harness), ...harness.run(20)], 'upstream-report');
    expect(first[0]?.upstreams[0]).to.include({ upstream: 'u1', run: 'u1', isLeaving: true });
    expect(controlMessages(harness.run(3000), 'upstream-report').length).to.be.within(1, 4);
    const marked = { ...announced('u1'), revision: 8 };
    const record = { ...marked, definition: { ...marked.definition, leaving: true } };
    harness.change([{ type: 'upstream', id: 'u1', record }]);
    harness.run(100);
    expect(controlMessages(harness.run(3000), 'upstream-report')).to.have.length(0);
  });

  it('stays draining when control removes and adds it again; another run serves', () => {
    const harness = startOwner();
    answerAsDraining(harness);
    harness.change([{ type: 'upstream', id: 'u1', record: null }]);
    harness.change([{ type: 'upstream', id: 'u1', record: announced('u1') }]);
    expect(effectsOfType(harness.request('menu', { key: 'k' }), 'dispatch')).to.have.length(0);
    const next = upstream('u1', 'menu', { announced: { slots: 50, warmupMillis: 0, born: 7 } });
    const record = { ...next, revision: 9, incarnation: 'u1@7' };
    const effects = harness.change([{ type: 'upstream', id: 'u1', record }]);
    expect(
      effectsOfType([...effects, ...harness.request('menu', { key: 'k' })], 'dispatch').length,
    ).to.be.above(0);
  });

  it('has attempts that wait for a connection recalled', () => {
    const harness = startOwner();
    const [waiting] = effectsOfType(harness.request('menu', { key: 'k' }), 'dispatch');
    expect(effectsOfType(answerAsDraining(harness), 'recall-unsent')).to.have.length(1);
    const recalled = harness.ended(waiting?.attempt ?? 0, { type: 'connect-failed', recalled: true });
    expect(effectsOfType(recalled, 'dispatch')).to.have.length(0);
  });

  it('doesn’t affect the current run by a late answer of an earlier run', () => {
    const harness = startOwner();
    const [earlyDispatch] = effectsOfType(harness.request('menu', { key: 'k' }), 'dispatch');
    const next = upstream('u1', 'menu', { announced: { slots: 50, warmupMillis: 0, born: 7 } });
    const record = { ...next, revision: 9, incarnation: 'u1@7' };
    harness.change([{ type: 'upstream', id: 'u1', record }]);
    harness.step({ type: 'upstream-notice', attempt: earlyDispatch?.attempt ?? 0, notice: DRAINING_NOTICE });
    expect(effectsOfType(harness.request('menu', { key: 'k' }), 'dispatch')).to.have.length(1);
  });
});

describe('one of several upstreams, which reports that it is draining', () => {
  function countAt(harness: RouterHarness, id: string): number {
    let countAtUpstream = 0;
    for (let count = 0; count < 60; count += 1) {
      const [dispatch] = effectsOfType(harness.request('menu'), 'dispatch');
      const isFailing = count % 3 === 0;
      const retries = harness.ended(
        dispatch?.attempt ?? 0,
        isFailing ? { type: 'connect-failed' } : ANSWERED,
      );
      const dispatches = [
        ...(dispatch === undefined ? [] : [dispatch]),
        ...effectsOfType(retries, 'dispatch'),
      ];
      countAtUpstream += dispatches.filter(({ upstream: target }) => target === id).length;
      harness.run(20);
    }
    return countAtUpstream;
  }

  it('gets no first attempts, no retries and no time slots for cold upstreams', () => {
    const warmup = { perSecond: 40, millis: 60_000 };
    const harness = new RouterHarness().start(
      [service('menu', { warmup })],
      [announced('u1', 60_000), announced('u2')],
    );
    const place = { phaseShare: 0.5, routers: 1 };
    harness.respond(harness.now, { turn: { inZone: place, inAll: place } });
    harness.run(200);
    let attempt = 0;
    while (attempt === 0) {
      const [dispatch] = effectsOfType(harness.request('menu'), 'dispatch');
      attempt = dispatch?.upstream === 'u1' ? dispatch.attempt : 0;
      harness.run(20);
    }
    harness.step({ type: 'upstream-notice', attempt, notice: DRAINING_NOTICE });
    expect(countAt(harness, 'u1')).to.equal(0);
  });

  it('gets no requests even if all upstreams are draining; they are refused', () => {
    const definition = service('menu', { holdLimitMillis: HOLD_MILLIS });
    const harness = new RouterHarness().start([definition], [announced('u1'), announced('u2')]);
    answerAsDraining(harness, null);
    answerAsDraining(harness, null);
    const effects = [...harness.request('menu'), ...harness.run(HOLD_MILLIS + 30)];
    expect(effectsOfType(effects, 'dispatch')).to.have.length(0);
    expect(effectsOfType(effects, 'refuse').map(({ reason }) => reason)).to.deep.equal(['no-upstream']);
  });

  it('has its keys served if it has a session with control to report it in', () => {
    const definition = service('menu', { keyed: true, holdLimitMillis: HOLD_MILLIS });
    const shards = [onlyShard('menu', 'u1', 3)];
    const harness = new RouterHarness().start([definition], [upstream('u1', 'menu')], shards);
    answerAsDraining(harness);
    expect(effectsOfType(harness.request('menu', { key: 'k' }), 'dispatch')).to.have.length(1);
  });

  it('is used again after a later successful health check if runs have no names, and not after an operator’s change', () => {
    const record = { ...upstream('u1', 'menu'), incarnation: null };
    const isUsed = (harness: RouterHarness): boolean =>
      effectsOfType([...harness.request('menu'), ...harness.run(HOLD_MILLIS + 30)], 'dispatch').length > 0;
    const probe = { type: 'probe-result', upstream: 'u1', healthy: true, load: 0 } as const;
    const definition = service('menu', { holdLimitMillis: HOLD_MILLIS });
    const harness = new RouterHarness().start([definition], [record]);
    answerAsDraining(harness, null);
    harness.change([{ type: 'upstream', id: 'u1', record: { ...record, revision: 5 } }]);
    harness.run(14_000);
    harness.step(probe);
    harness.run(60_000);
    expect(isUsed(harness)).to.equal(false);
    harness.step(probe);
    expect(isUsed(harness)).to.equal(true);
  });
});
