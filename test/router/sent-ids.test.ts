/** The ids that a connection has carried: none twice, and a bounded number. */
import { expect } from 'chai';
import { SentIds } from '../../src/router/attempts/sent-ids.js';
import { callRouter } from '../platform/announced-upstream.js';
import { RoutedRouter } from './routed-router.js';
import { RouterFixture } from './router-fixture.js';
import { answerWhole, ScriptedUpstream } from './scripted-upstream.js';

describe('the ids of a connection', () => {
  it('allow each id once', () => {
    const ids = new SentIds();
    expect(ids.mayCarry('a')).to.equal(true);
    ids.add('a');
    expect(ids.mayCarry('a')).to.equal(false);
    expect(ids.mayCarry('b')).to.equal(true);
  });

  it('are bounded: a connection that has carried many is not used any more', () => {
    const ids = new SentIds();
    let carried = 0;
    while (ids.mayCarry(`q-${carried}`) && carried < 10_000) {
      ids.add(`q-${carried}`);
      carried += 1;
    }
    expect(carried).to.be.within(100, 1000);
  });

  it('do not cost requests with different ids a connection', async () => {
    const router = await RoutedRouter.start({ limits: { connectionsPerUpstream: 1 } });
    for (let number = 1; number <= 20; number += 1) {
      await callRouter(router.daemon.address, '/orders/1', { id: `q-${number}`, deadline: 900 });
    }
    expect(router.server.requests.map(({ connection }) => connection)).to.deep.equal(Array(20).fill(1));
    await router.stop();
  });

  it('do not matter where upstreams name the attempt in their answers', async () => {
    const upstream = await new ScriptedUpstream(answerWhole).start();
    const settings = { limits: { connectionsPerUpstream: 1 } };
    const router = await RouterFixture.start([upstream], { settings });
    await router.get('/reads/1', { 'ternmount-request-id': 'q-1' });
    await router.get('/reads/1', { 'ternmount-request-id': 'q-1' });
    expect(upstream.requests.map(({ connection }) => connection)).to.deep.equal([1, 1]);
    await router.stop();
    await upstream.stop();
  });
});
